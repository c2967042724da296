//! Tests of the shape of the tree: number of children and depth.

use crate::tree_position::TreePosition;

#[test]
fn tree_of_any_size_has_lower_ranked_parents_and_bounded_fan_out() {
    for count in 1..300 {
        let mut children = vec![0; count];
        for rank in 0..count {
            let position = TreePosition::at(rank, count);
            assert_eq!(position.watches, rank < TreePosition::WATCHERS);
            assert!(!position.parents.contains(&rank));
            assert!(position.parents.iter().all(|parent| *parent < count));
            if !position.watches {
                assert!(position.parents[0] < rank);
                children[position.parents[0]] += 1;
            }
        }
        assert!(
            children
                .iter()
                .all(|children| *children <= TreePosition::ARITY)
        );
    }
}

#[test]
fn tree_of_7800_instances_is_four_levels_deep() {
    let count = 7_800;
    let depth = |mut rank: usize| {
        let mut levels = 0;
        while rank >= TreePosition::WATCHERS {
            rank = TreePosition::at(rank, count).parents[0];
            levels += 1;
        }
        levels
    };
    assert_eq!((0..count).map(depth).max(), Some(4));
}
