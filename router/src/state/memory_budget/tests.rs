use super::*;

#[test]
fn a_share_counts_against_the_limit_until_it_is_dropped() {
    let budget = MemoryBudget::new(200);
    let mut first = budget.share();
    let mut second = budget.share();
    first.set(60);
    second.set(40);
    assert!(!budget.is_over());
    second.set(41);
    assert!(budget.is_over());
    first.set(10);
    assert!(!budget.is_over());
    drop((first, second));
    assert_eq!(budget.used.get(), 0);
}
