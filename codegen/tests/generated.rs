//! The committed wire code matches the .proto file; `STACKMAST_REGENERATE=1` regenerates it.

use std::path::Path;

#[test]
fn wire_code_matches_proto() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let wire = root.join("src/wire");
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    std::fs::create_dir_all(&out).unwrap();
    let descriptors = protox::compile(["stackmast.proto"], [&wire]).unwrap();
    tonic_prost_build::configure().out_dir(&out).compile_fds(descriptors).unwrap();
    let generated = std::fs::read_to_string(out.join("stackmast.v1.rs")).unwrap();
    let committed = wire.join("generated.rs");
    if std::env::var_os("STACKMAST_REGENERATE").is_some() {
        std::fs::write(&committed, &generated).unwrap();
    }
    let found = std::fs::read_to_string(&committed).unwrap();
    assert!(found == generated, "run again with STACKMAST_REGENERATE=1 and commit the result");
}
