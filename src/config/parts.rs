//! Splits a configuration into parts that fit the platform's values, and puts it together again.
//!
//! A manifest names the version and the digest of every part, so that only changed parts travel.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use super::{Config, Endpoint, Limit, Organisation, Pipeline, Placement, Policy, Rule};

/// The platform's bound on one value, in bytes.
pub const MAX_PART_LEN: usize = 1_000_000;
/// The key of the manifest at the platform.
pub const MANIFEST_KEY: &str = "stackmast/manifest";
/// The prefix of the parts' keys at the platform.
pub const PART_PREFIX: &str = "stackmast/part/";
/// Endpoints or organisations in one shard, on average; a shard is at most twice as large.
const SHARD_MEMBERS: usize = 128;

/// Why parts make no configuration.
#[derive(Debug, Snafu)]
pub enum PartsError {
    /// A part that the manifest names is not there.
    #[snafu(display("part {name:?} is missing"))]
    Missing {
        /// The part's name.
        name: String,
    },
    /// A part with other content than the manifest says.
    #[snafu(display("part {name:?} has digest {found}, the manifest says {expected}"))]
    Digest {
        /// The part's name.
        name: String,
        /// The digest of what was read.
        found: String,
        /// The digest in the manifest.
        expected: String,
    },
    /// A part that is not what its name says.
    #[snafu(display("part {name:?} can't be read: {source}"))]
    Syntax {
        /// The part's name.
        name: String,
        /// Where and why.
        source: serde_json::Error,
    },
    /// A part of a kind that this version doesn't know.
    #[snafu(display("part {name:?} is of no known kind"))]
    UnknownKind {
        /// The part's name.
        name: String,
    },
    /// A part that no value of the platform holds.
    #[snafu(display("part {name:?} has {len} bytes, the platform holds {MAX_PART_LEN}"))]
    TooLarge {
        /// The part's name.
        name: String,
        /// Its bytes.
        len: usize,
    },
    /// A manifest whose digest is not that of its list.
    #[snafu(display("the manifest of version {version} has a wrong digest"))]
    ManifestDigest {
        /// The manifest's version.
        version: u64,
    },
}

/// A part's name and digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEntry {
    /// The part's name, such as `organisations-3`.
    pub name: String,
    /// xxh3-128 of its bytes, in hexadecimal.
    pub digest: String,
}

/// A version and the parts that it consists of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The configuration's version.
    pub version: u64,
    /// xxh3-128 over the names and digests of all parts, in hexadecimal.
    pub digest: String,
    /// The parts, by name.
    pub parts: Vec<PartEntry>,
}

impl Manifest {
    fn new(version: u64, parts: Vec<PartEntry>) -> Self {
        let digest = list_digest(version, &parts);
        Self { version, digest, parts }
    }

    /// Fails when the list is not the one that the digest was made of.
    pub fn verify(&self) -> Result<(), PartsError> {
        let version = self.version;
        ensure!(self.digest == list_digest(version, &self.parts), ManifestDigestSnafu { version });
        Ok(())
    }
}

/// A manifest with the content of its parts.
#[derive(Debug, Clone)]
pub struct Bundle {
    /// What the parts are.
    pub manifest: Manifest,
    /// The parts' bytes by digest.
    pub parts: BTreeMap<String, Bytes>,
}

/// The digest of one part's bytes.
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

/// Everything that is neither an endpoint nor an organisation.
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

/// Members go to shards by the hash of their names, so that one change touches one shard.
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

/// The members of one part, as they are in the configuration.
#[derive(Debug, Clone)]
enum Members {
    Main(Arc<Main>),
    Endpoints(Vec<Arc<Endpoint>>),
    Organisations(Vec<Arc<Organisation>>),
}

/// A configuration put together from parts; the next one shares what did not change.
#[derive(Debug, Clone)]
pub struct Assembled {
    /// The configuration.
    pub config: Arc<Config>,
    members: HashMap<String, Members>,
}

/// Puts a configuration together; every part must be there and have its digest. Parts that `before`
/// has are not read again, and their members are shared with it.
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
