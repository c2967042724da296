//! Matching of routes, and weighted round robin over their services.

use geraniummast_routing::*;
use indexmap::IndexMap;
use std::time::Duration;

fn rule(name: &str, prefix: &str, services: &[(&str, f64)]) -> RouteRule {
    RouteRule {
        name: name.into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(400),
        priority: 1,
        split: services
            .iter()
            .map(|(service, weight)| WeightedService {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
        max_attempts: 2,
    }
}

fn table(rules: Vec<RouteRule>) -> RouteTable {
    let limits = RequestLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let hosts = IndexMap::from([("one.example".to_string(), rules)]);
    RouteTable::new(3, hosts, IndexMap::new(), limits)
}

#[test]
fn longest_matching_prefix_of_host_wins() {
    let table = table(vec![
        rule("short", "/a/", &[("s", 1.0)]),
        rule("long", "/a/b/", &[("s", 1.0)]),
    ]);
    let found = |host, path| table.find(host, path).map(|rule| rule.name.as_str());
    assert_eq!(found("one.example", "/a/b/c"), Some("long"));
    assert_eq!(found("one.example:8080", "/a/c"), Some("short"));
    assert_eq!(found("one.example", "/a"), None);
    assert_eq!(found("two.example", "/a/b/c"), None);
}

#[test]
fn services_get_their_share_over_few_requests_from_any_offset() {
    let rule = rule("split", "/", &[("big", 90.0), ("small", 10.0)]);
    for start in 0..20 {
        let mut round_robin = WeightedRoundRobin::new(f64::from(start) / 20.0);
        let small = (0..100)
            .filter(|_| round_robin.next_service(&rule.split) == Some("small"))
            .count();
        assert!((9..=11).contains(&small), "start {start}: {small} of 100");
    }
}

#[test]
fn service_without_weight_gets_no_requests() {
    let rule = rule("split", "/", &[("all", 1.0), ("none", 0.0)]);
    let mut round_robin = WeightedRoundRobin::new(0.3);
    assert!((0..200).all(|_| round_robin.next_service(&rule.split) == Some("all")));
    assert_eq!(round_robin.next_service(&[]), None);
}
