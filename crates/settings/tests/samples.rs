//! The sample settings files are valid.

use std::path::Path;

use settings::CheckedSettings;

#[test]
fn the_sample_settings_of_both_deployments_are_accepted() {
    for deployment in ["plumon", "kervadec"] {
        let directory = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../samples")
            .join(deployment);
        let node = CheckedSettings::load(&directory.join("node.toml")).expect("valid");
        assert!(matches!(node, CheckedSettings::Node(_)));
        let control = CheckedSettings::load(&directory.join("control.toml")).expect("valid");
        assert!(matches!(control, CheckedSettings::Control(_)));
    }
}
