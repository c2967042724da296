use crate::block_list::BlockList;

fn push(list: &mut BlockList, piece: &[u8], announced: Option<usize>) -> usize {
    let mut reserved = 0;
    let reserve = |bytes| {
        reserved += bytes;
        Ok::<_, ()>(())
    };
    list.push(piece, announced, reserve).unwrap();
    reserved
}

// Guards against bytes that are lost or exchanged between blocks, whatever pieces they come in.
#[test]
fn blocks_hold_the_pieces_in_order() {
    let body: Vec<u8> = (0..300_000_u32).map(|index| (index % 251) as u8).collect();
    for announced in [None, Some(body.len())] {
        for piece_bytes in [1, 17, 4_096, 65_536, 300_000] {
            let mut list = BlockList::default();
            for piece in body.chunks(piece_bytes) {
                push(&mut list, piece, announced);
            }
            list.close_block();
            assert_eq!(list.len(), body.len());
            assert!(list.blocks().iter().all(|block| block.len() <= 64 << 10));
            assert_eq!(list.blocks().concat(), body);
        }
    }
}

// Guards against a small body that reserves a whole block, and against blocks beyond the announced
// length.
#[test]
fn announced_body_reserves_its_length() {
    for length in [1, 200, 5_000, 70_000, 1 << 20] {
        let mut list = BlockList::default();
        let reserved: usize = vec![7; length]
            .chunks(1_000)
            .map(|piece| push(&mut list, piece, Some(length)))
            .sum();
        assert_eq!(reserved, length);
    }
}

// Guards against a body that is longer than the budget allows being stored all the same.
#[test]
fn denied_block_is_not_stored() {
    let mut list = BlockList::default();
    let mut left = 100_000_usize;
    let pushed = list.push(&[7; 200_000], None, |bytes| {
        left = left.checked_sub(bytes).ok_or("no room")?;
        Ok(())
    });
    assert_eq!(pushed, Err("no room"));
    assert!(list.len() <= 100_000);
}
