//! Tests of the owners' signatures of changes.

use ed25519_dalek::SigningKey;
use model::change::OwnerSignature;
use model::change::ProposedChange;

fn change(base: u64, text: &str) -> ProposedChange {
    ProposedChange {
        base,
        text: text.to_owned(),
    }
}

#[test]
fn a_signature_verifies_only_for_its_owner_and_change() {
    let key = SigningKey::from_bytes(&[1; 32]);
    let hash = change(1, "a").hash();
    let signature = OwnerSignature::sign(&key, &hash);
    assert!(signature.verifies(&hash));
    assert!(!signature.verifies(&change(2, "a").hash()));
    assert!(!signature.verifies(&change(1, "b").hash()));
    let mut forged = signature.clone();
    forged.owner = SigningKey::from_bytes(&[2; 32]).verifying_key().to_bytes();
    assert!(!forged.verifies(&hash));
    for bit in 0..8 * signature.signature.len() {
        let mut flipped = signature.clone();
        flipped.signature[bit / 8] ^= 1 << (bit % 8);
        assert!(!flipped.verifies(&hash), "bit {bit}");
    }
}

#[test]
fn a_malformed_signature_is_refused() {
    let key = SigningKey::from_bytes(&[1; 32]);
    let hash = change(1, "a").hash();
    let mut signature = OwnerSignature::sign(&key, &hash);
    signature.signature.pop();
    assert!(!signature.verifies(&hash));
    signature.owner = [0; 32];
    assert!(!signature.verifies(&hash));
}
