//! Checks of the combinations of durations that are rejected.

use {geraniummast_ownership::TimingSettings, std::time::Duration};

#[test]
fn default_settings_have_no_faults() {
    assert_eq!(TimingSettings::default().faults(), []);
}

#[test]
fn contradicting_settings_are_named_in_faults() {
    let ms = Duration::from_millis;
    type Change = fn(&mut TimingSettings, Duration);
    let cases: [(&[&str], Change, Duration); 6] = [
        (
            &["lease-ms", "suspicion-ms"],
            |settings, span| settings.heartbeat = span,
            ms(126),
        ),
        (
            &["grant-ms"],
            |settings, span| settings.grant = span,
            ms(301),
        ),
        (
            &["grant-ms"],
            |settings, span| settings.grant_renewal = span,
            ms(101),
        ),
        (
            &["suspicion-ms"],
            |settings, span| settings.suspicion = span,
            ms(301),
        ),
        (
            &["server-suspicion-ms"],
            |settings, span| settings.server_suspicion = span,
            ms(159),
        ),
        (
            &["lease-ms", "suspicion-ms"],
            |settings, span| settings.heartbeat = span,
            ms(0),
        ),
    ];
    for (expected, change, span) in cases {
        let mut settings = TimingSettings::default();
        change(&mut settings, span);
        let found: Vec<&str> = settings
            .faults()
            .iter()
            .map(|fault| fault.setting)
            .collect();
        assert_eq!(found, expected, "{span:?}");
    }
}
