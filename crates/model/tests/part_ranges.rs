//! Agreement of the ranges of parts with the part index of a hash.

use geraniummast_model::{KeyHash, PartId, ServiceName};

#[test]
fn range_bounds_map_to_their_part() {
    for parts in [1, 2, 3, 7, 300] {
        for index in 0..parts {
            let range = PartId::new(ServiceName::new("s"), index).range(parts);
            assert_eq!(KeyHash(range.start).part_index(parts), index);
            assert_eq!(KeyHash(range.end).part_index(parts), index);
        }
    }
}
