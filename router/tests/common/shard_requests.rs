//! What a node sees of shard requests, as the stand-in's watcher passes it on.

/// One shard request.
pub(crate) struct ShardRequest {
    /// The identity of the client's request.
    pub(crate) request: String,
    pub(crate) shard: u32,
    /// The time that the node is told it has, in microseconds.
    pub(crate) told: u64,
}

/// The shard requests of one write, which may carry several: a head line each, with the body that its length gives.
pub(crate) fn read(letter: char, text: &str) -> Vec<ShardRequest> {
    let (mut found, mut left) = (Vec::new(), text);
    while let (Some((head, more)), 'q') = (left.split_once('\n'), letter) {
        let words: Vec<&str> = head.split(' ').collect();
        let (request, shard) = words[0].rsplit_once('.').expect("a shard request's id");
        let told = words[2]
            .split(',')
            .find_map(|field| field.strip_prefix("d="))
            .expect("a time");
        found.push(ShardRequest {
            request: request.to_owned(),
            shard: shard.parse().expect("a shard"),
            told: told.parse::<u64>().expect("milliseconds") * 1000,
        });
        let length = words[3].parse::<usize>().expect("a length");
        left = more.get(length..).unwrap_or_default();
    }
    found
}
