use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn a_policy_that_passes_the_check_stays_within_the_platform(
        (own, need) in (0.0f64..=1.0, 0.0f64..=1.0), wanted in 0.0f64..=1.0, calls in 1u64..9, cap in 1usize..5,
        spare in 0.0f64..10.0, own_spare in 0.0f64..10.0, quota in 1.0f64..50.0, own_quota in 1.0f64..50.0
    ) {
        let row = IndexConfig { min_weight: own.min(need), required_weight: need, latency_objective: Micros(600_000), ..IndexConfig::default() };
        let config = PlatformConfig {
            indexes: vec![row],
            quotas: vec![own_quota],
            max_attempts: Some(cap),
            retry_budget_min: own_spare,
            retry_budget_window: Some(Micros(1)),
            ..PlatformConfig::default()
        };
        let (names, customers) = (["half".to_owned()], ["north".to_owned()]);
        let text = format!(
            "author: \"a\"\nreason: \"b\"\nindexes: half: {{least: {wanted}, calls: {calls}}}\n\
             customers: north: per_second: {quota}\nfurther: {{spare: {spare}, share: 0}}\n"
        );
        let allowed = platform_limits(&config, &names, &customers);
        let mut effective = config.clone();
        if let Ok(record) = Record::read_within("p", &text, &allowed) {
            apply_policy(&record, &config, &names, &customers, &mut effective);
            let row = &effective.indexes[0];
            prop_assert!(row.min_weight >= own.min(need) && row.min_weight <= need);
            prop_assert!(row.max_attempts.is_none_or(|calls| calls <= cap));
            prop_assert!(row.retry_budget.is_none_or(|(spare, _)| spare <= own_spare));
            prop_assert!(effective.quotas[0] <= own_quota);
        }
        // After a return to the platform's own settings, nothing of the policy remains.
        apply_policy(&Record::default(), &config, &names, &customers, &mut effective);
        prop_assert_eq!(format!("{effective:?}"), format!("{config:?}"));
    }
}
