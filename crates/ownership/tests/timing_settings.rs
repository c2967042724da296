//! Which combinations of times are refused.

use {geraniummast_ownership::TimingSettings, std::time::Duration};

#[test]
fn the_default_plan_has_no_findings() {
    assert_eq!(TimingSettings::default().faults(), []);
}

#[test]
fn each_broken_order_is_found_and_names_its_settings() {
    let ms = Duration::from_millis;
    type Change = fn(&mut TimingSettings, Duration);
    let cases: [(&[&str], Change, Duration); 6] = [
        (
            &["lease-ms", "suspicion-ms"],
            |plan, span| plan.heartbeat = span,
            ms(126),
        ),
        (&["grant-ms"], |plan, span| plan.grant = span, ms(301)),
        (
            &["grant-ms"],
            |plan, span| plan.grant_renewal = span,
            ms(101),
        ),
        (
            &["suspicion-ms"],
            |plan, span| plan.suspicion = span,
            ms(301),
        ),
        (
            &["server-suspicion-ms"],
            |plan, span| plan.server_suspicion = span,
            ms(159),
        ),
        (
            &["lease-ms", "suspicion-ms"],
            |plan, span| plan.heartbeat = span,
            ms(0),
        ),
    ];
    for (settings, change, span) in cases {
        let mut plan = TimingSettings::default();
        change(&mut plan, span);
        let found: Vec<&str> = plan.faults().iter().map(|fault| fault.setting).collect();
        assert_eq!(found, settings, "{span:?}");
    }
}
