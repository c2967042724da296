//! Shape of the feed's tree.

use crate::feed_tree::FeedPlace;

#[test]
fn every_instance_hears_from_one_above_it_and_none_serves_too_many() {
    for count in 1..300 {
        let mut children = vec![0; count];
        for rank in 0..count {
            let place = FeedPlace::at(rank, count);
            assert_eq!(place.watches, rank < FeedPlace::WATCHERS);
            assert!(!place.parents.contains(&rank));
            assert!(place.parents.iter().all(|parent| *parent < count));
            if !place.watches {
                assert!(place.parents[0] < rank);
                children[place.parents[0]] += 1;
            }
        }
        assert!(children.iter().all(|served| *served <= FeedPlace::ARITY));
    }
}

#[test]
fn the_way_to_the_store_grows_with_the_logarithm_of_the_fleet() {
    let count = 7_800;
    let steps = |mut rank: usize| {
        let mut steps = 0;
        while rank >= FeedPlace::WATCHERS {
            rank = FeedPlace::at(rank, count).parents[0];
            steps += 1;
        }
        steps
    };
    assert_eq!((0..count).map(steps).max(), Some(4));
}
