//! Ranges of parts against the hash's own choice of a part.

use geraniummast_model::{KeyHash, PartId, ServiceName};

#[test]
fn ranges_agree_with_the_index_of_their_bounds() {
    for parts in [1, 2, 3, 7, 300] {
        for index in 0..parts {
            let range = PartId::new(ServiceName::new("s"), index).range(parts);
            assert_eq!(KeyHash(range.start).part_index(parts), index);
            assert_eq!(KeyHash(range.end).part_index(parts), index);
        }
    }
}
