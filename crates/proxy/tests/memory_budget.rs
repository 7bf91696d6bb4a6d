//! Tests of the memory budget of bodies.

use arbtest::arbtest;
use proxy::BodyTooLarge;
use proxy::MemoryBudget;

/// Budget of the tests, in bytes.
const LIMIT_BYTES: usize = 1024 * 1024;

#[test]
fn bodies_never_take_more_than_the_budget_and_give_all_of_it_back() {
    arbtest(|random| {
        let budget = MemoryBudget::new(LIMIT_BYTES as u64);
        let mut buffers = Vec::new();
        let mut bodies = Vec::new();
        for _ in 0..random.int_in_range(1..=60)? {
            let chunk = vec![7; random.int_in_range(0..=LIMIT_BYTES / 3)?];
            match random.int_in_range(0..=4)? {
                0 => buffers.push(budget.buffer(LIMIT_BYTES)),
                1 => bodies.extend(buffers.pop().map(proxy::BodyBuffer::freeze)),
                2 => drop(bodies.pop()),
                _ => {
                    if let Some(buffer) = buffers.last_mut() {
                        let before = buffer.as_ref().len();
                        let added = buffer.append(&chunk).is_ok();
                        let expected = before + if added { chunk.len() } else { 0 };
                        assert_eq!(buffer.as_ref().len(), expected);
                    }
                }
            }
            let held: usize = buffers.iter().map(|buffer| buffer.as_ref().len()).sum();
            let held = held + bodies.iter().map(bytes::Bytes::len).sum::<usize>();
            assert!(held <= budget.used_bytes());
            assert!(budget.used_bytes() <= LIMIT_BYTES);
        }
        drop((buffers, bodies));
        assert_eq!(budget.used_bytes(), 0);
        Ok(())
    });
}

#[test]
fn a_small_body_fits_beside_large_ones_that_have_taken_all_they_may() {
    let budget = MemoryBudget::new(LIMIT_BYTES as u64);
    let mut large = budget.buffer(usize::MAX);
    while large.append(&[7; 4096]).is_ok() {}
    let mut small = budget.buffer(usize::MAX);
    assert_eq!(small.append(&[7; 4096]), Ok(()));
}

#[test]
fn a_body_over_its_own_limit_is_refused() {
    let budget = MemoryBudget::new(LIMIT_BYTES as u64);
    let mut buffer = budget.buffer(10);
    assert_eq!(buffer.append(&[7; 10]), Ok(()));
    assert_eq!(buffer.append(&[7]), Err(BodyTooLarge::OverLimit));
}

#[test]
fn the_memory_of_a_body_counts_until_its_last_clone_is_dropped() {
    let budget = MemoryBudget::new(LIMIT_BYTES as u64);
    let mut buffer = budget.buffer(usize::MAX);
    buffer.append(&[7; 1000]).unwrap();
    let body = buffer.freeze();
    let part = body.slice(10..20);
    drop(body);
    assert_eq!(budget.used_bytes(), 1000);
    drop(part);
    assert_eq!(budget.used_bytes(), 0);
}
