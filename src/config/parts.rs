//! Splits a configuration into parts that fit into values of the platform, and assembles it again.
//!
//! A manifest lists the version and the digest of every part, so that only changed parts are
//! transferred.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use super::{Config, Endpoint, Limit, Organisation, Pipeline, Placement, Policy, Rule};

/// Maximum length of a value on the platform, in bytes.
pub const MAX_PART_LEN: usize = 1_000_000;
/// Key of the manifest on the platform.
pub const MANIFEST_KEY: &str = "stackmast/manifest";
/// Prefix of the keys of parts on the platform.
pub const PART_PREFIX: &str = "stackmast/part/";
/// Upper limit of the mean number of endpoints or organisations per shard; a single shard holds at
/// most about twice as many.
const SHARD_MEMBERS: usize = 128;

/// Why a configuration could not be split or assembled.
#[derive(Debug, Snafu)]
pub enum PartsError {
    /// A part that the manifest lists is missing.
    #[snafu(display("part {name:?} is missing"))]
    Missing {
        /// Name of the part.
        name: String,
    },
    /// The content of a part does not match the digest in the manifest.
    #[snafu(display("part {name:?} has digest {found}, the manifest says {expected}"))]
    Digest {
        /// Name of the part.
        name: String,
        /// Digest of the content.
        found: String,
        /// Digest in the manifest.
        expected: String,
    },
    /// A part is not valid JSON for its kind, which is given by its name.
    #[snafu(display("part {name:?} can't be read: {source}"))]
    Syntax {
        /// Name of the part.
        name: String,
        /// Cause, with the position in the part.
        source: serde_json::Error,
    },
    /// The kind of a part is unknown to this version of the program.
    #[snafu(display("part {name:?} is of no known kind"))]
    UnknownKind {
        /// Name of the part.
        name: String,
    },
    /// A part exceeds the maximum length of a value on the platform.
    #[snafu(display("part {name:?} has {len} bytes, the platform's maximum is {MAX_PART_LEN}"))]
    TooLarge {
        /// Name of the part.
        name: String,
        /// Length of the part, in bytes.
        len: usize,
    },
    /// The digest of a manifest does not match its list of parts.
    #[snafu(display("the manifest of version {version} has a wrong digest"))]
    ManifestDigest {
        /// Version of the manifest.
        version: u64,
    },
}

/// Name and digest of a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEntry {
    /// Name of the part, such as `organisations-3`.
    pub name: String,
    /// xxh3-128 of the part's bytes, in hexadecimal.
    pub digest: String,
}

/// List of the parts of one configuration version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Version of the configuration.
    pub version: u64,
    /// xxh3-128 over the version and the names and digests of all parts, in hexadecimal.
    pub digest: String,
    /// Entries of the parts.
    pub parts: Vec<PartEntry>,
}

impl Manifest {
    fn new(version: u64, parts: Vec<PartEntry>) -> Self {
        let digest = list_digest(version, &parts);
        Self { version, digest, parts }
    }

    /// Fails if the digest does not match the version and the list of parts.
    pub fn verify(&self) -> Result<(), PartsError> {
        let version = self.version;
        ensure!(self.digest == list_digest(version, &self.parts), ManifestDigestSnafu { version });
        Ok(())
    }
}

/// A manifest with the content of its parts.
#[derive(Debug, Clone)]
pub struct Bundle {
    /// Manifest that lists the parts.
    pub manifest: Manifest,
    /// Content of the parts, by digest.
    pub parts: BTreeMap<String, Bytes>,
}

/// Digest of a part's content: xxh3-128 in hexadecimal.
pub fn digest(bytes: &[u8]) -> String {
    format!("{:032x}", xxh3_128(bytes))
}

fn list_digest(version: u64, parts: &[PartEntry]) -> String {
    let mut text = version.to_string();
    for part in parts {
        text.push('\n');
        text.push_str(&part.name);
        text.push('=');
        text.push_str(&part.digest);
    }
    digest(text.as_bytes())
}

/// Part with everything except the endpoints and the organisations.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Main {
    pipelines: Vec<Pipeline>,
    rules: Vec<Rule>,
    limits: Vec<Limit>,
    placements: Vec<Placement>,
    policy: Policy,
}

const MAIN: &str = "main";
const ENDPOINTS: &str = "endpoints-";
const ORGANISATIONS: &str = "organisations-";

/// Splits `config` into parts of at most [`MAX_PART_LEN`] bytes.
pub fn split(config: &Config) -> Result<Bundle, PartsError> {
    let main = Main {
        pipelines: config.pipelines.clone(),
        rules: config.rules.clone(),
        limits: config.limits.clone(),
        placements: config.placements.clone(),
        policy: config.policy.clone(),
    };
    let mut named = vec![(MAIN.to_owned(), encode(MAIN, &main)?)];
    named.extend(shards(ENDPOINTS, &config.endpoints, |e| &e.name)?);
    named.extend(shards(ORGANISATIONS, &config.organisations, |o| &o.name)?);
    let mut entries = Vec::with_capacity(named.len());
    let mut parts = BTreeMap::new();
    for (name, bytes) in named {
        ensure!(bytes.len() <= MAX_PART_LEN, TooLargeSnafu { name, len: bytes.len() });
        let digest = digest(&bytes);
        entries.push(PartEntry { name, digest: digest.clone() });
        parts.insert(digest, bytes);
    }
    Ok(Bundle { manifest: Manifest::new(config.version, entries), parts })
}

fn encode<T: Serialize>(name: &str, value: &T) -> Result<Bytes, PartsError> {
    let bytes = serde_json::to_vec(value).context(SyntaxSnafu { name })?;
    Ok(Bytes::from(bytes))
}

/// Assigns members to shards by the hash of their names, so that a change of one member changes one
/// shard only.
fn shards<T: Serialize>(
    prefix: &str,
    members: &[Arc<T>],
    name: impl Fn(&T) -> &String,
) -> Result<Vec<(String, Bytes)>, PartsError> {
    let count = members.len().div_ceil(SHARD_MEMBERS).next_power_of_two();
    let mut shards = vec![Vec::new(); count];
    for member in members {
        let shard = xxh3_64(name(member).as_bytes()) as usize % count;
        shards[shard].push(member.clone());
    }
    let encoded = shards.iter().enumerate().map(|(i, shard)| {
        let part = format!("{prefix}{i}");
        let bytes = encode(&part, shard)?;
        Ok((part, bytes))
    });
    encoded.collect()
}

/// Decoded content of one part.
#[derive(Debug, Clone)]
enum Members {
    Main(Arc<Main>),
    Endpoints(Vec<Arc<Endpoint>>),
    Organisations(Vec<Arc<Organisation>>),
}

/// A configuration assembled from parts. Its decoded parts are kept, so that the next version
/// shares those that are unchanged.
#[derive(Debug, Clone)]
pub struct Assembled {
    /// The configuration.
    pub config: Arc<Config>,
    members: HashMap<String, Members>,
}

/// Assembles a configuration; every part must be present and match its digest. Parts that `before`
/// contains are not decoded again; their members are shared with it.
pub fn join(bundle: &Bundle, before: Option<&Assembled>) -> Result<Assembled, PartsError> {
    bundle.manifest.verify()?;
    let mut config = Config { version: bundle.manifest.version, ..Config::default() };
    let mut members = HashMap::with_capacity(bundle.manifest.parts.len());
    for entry in &bundle.manifest.parts {
        let known = before.and_then(|b| b.members.get(&entry.digest)).cloned();
        let part = match known {
            Some(part) => part,
            None => read_part(bundle, entry)?,
        };
        add_part(&mut config, &part);
        members.insert(entry.digest.clone(), part);
    }
    Ok(Assembled { config: Arc::new(config), members })
}

fn read_part(bundle: &Bundle, entry: &PartEntry) -> Result<Members, PartsError> {
    let name = &entry.name;
    let bytes = bundle.parts.get(&entry.digest).context(MissingSnafu { name })?;
    let found = digest(bytes);
    ensure!(found == entry.digest, DigestSnafu { name, found, expected: entry.digest.clone() });
    if name == MAIN {
        Ok(Members::Main(decode(name, bytes)?))
    } else if name.starts_with(ENDPOINTS) {
        Ok(Members::Endpoints(decode(name, bytes)?))
    } else if name.starts_with(ORGANISATIONS) {
        Ok(Members::Organisations(decode(name, bytes)?))
    } else {
        UnknownKindSnafu { name }.fail()
    }
}

fn add_part(config: &mut Config, part: &Members) {
    match part {
        Members::Main(main) => {
            config.pipelines = main.pipelines.clone();
            config.rules = main.rules.clone();
            config.limits = main.limits.clone();
            config.placements = main.placements.clone();
            config.policy = main.policy.clone();
        }
        Members::Endpoints(endpoints) => config.endpoints.extend_from_slice(endpoints),
        Members::Organisations(organisations) => {
            config.organisations.extend_from_slice(organisations);
        }
    }
}

fn decode<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, PartsError> {
    serde_json::from_slice(bytes).context(SyntaxSnafu { name })
}
