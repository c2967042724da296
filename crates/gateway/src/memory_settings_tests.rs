use crate::test_node;

const MIB: usize = 1 << 20;

// Guards against a share of the smallest machine that the largest permitted body does not fit, and
// against one that leaves too little for the process.
#[test]
fn smallest_machine_holds_one_body_of_64_mib() {
    let node = test_node::build_with(&["--memory-mb=120"]);
    let limits = node.settings.memory.limits();
    let for_large = limits.total_bytes - limits.total_bytes / 16;
    assert!(for_large >= 65 * MIB, "{limits:?}");
    assert!(limits.total_bytes <= 72 * MIB, "{limits:?}");
}

// Guards against an operator's own value that the machine's memory overrides.
#[test]
fn memory_for_requests_overrides_the_share_of_the_machine() {
    let node = test_node::build_with(&["--memory-mb=120", "--request-memory-mb=80"]);
    assert_eq!(node.settings.memory.limits().total_bytes, 80 * MIB);
    let node = test_node::build_with(&["--memory-mb=", "--request-memory-mb="]);
    assert_eq!(node.settings.memory.limits().total_bytes, 1_024 * MIB);
}
