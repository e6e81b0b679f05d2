//! What is drawn: a small generator, and the kinds of fault.

use ternpick_fault_injection::{Call, Effect as Does, Role, Rule, Step};

/// A small generator: the same plays for the same seed.
pub(crate) struct Draw(u64);

impl Draw {
    pub(crate) fn new(seed: u64) -> Draw {
        let mut of = Draw(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x2545_f491_4f6c_dd1d);
        for _ in 0..8 {
            of.below(2);
        }
        of
    }

    pub(crate) fn below(&mut self, most: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 16) % most
    }

    pub(crate) fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from)
    }

    pub(crate) fn one<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u64) as usize]
    }
}

/// The kinds of fault that are drawn.
pub(crate) const KINDS: [&str; 8] = [
    "accepts fail",
    "calls are interrupted",
    "reads and writes are short",
    "dials fail for a while",
    "sockets fail for a while",
    "connections to nodes break",
    "the wall clock steps",
    "it is held up before writes",
];

/// A fault of a kind: its rules and steps.
pub(crate) fn fault(kind: usize, draw: &mut Draw) -> (Vec<Rule>, Vec<Step>) {
    let every = draw.between(2, 6);
    let from = draw.between(0, 1500);
    let rules = match kind {
        0 => {
            let errors = [
                "ECONNABORTED",
                "ENFILE",
                "EMFILE",
                "ENOBUFS",
                "EINTR",
                "EPROTO",
            ];
            vec![Rule::fails(Call::Accept, Role::Listener, every, &errors)]
        }
        1 => [Call::Receive, Call::Send, Call::Accept, Call::Wait]
            .map(|call| Rule::fails(call, Role::Any, every, &["EINTR"]))
            .to_vec(),
        2 => {
            let most = draw.between(1, 40) as usize;
            [Call::Receive, Call::Send]
                .map(|call| Rule::new(call, Role::Any, 1, Does::Short(most)))
                .to_vec()
        }
        3 => {
            let error = draw.one(&["EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ENOBUFS"]);
            vec![Rule::fails(Call::Connect, Role::Node, 1, &[error]).between(from, from + 400)]
        }
        4 => {
            let error = draw.one(&["EMFILE", "ENFILE", "ENOBUFS"]);
            vec![Rule::fails(Call::Socket, Role::Any, 1, &[error]).between(from, from + 400)]
        }
        5 => {
            let errors = ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"];
            vec![Rule::fails(
                Call::Receive,
                Role::Node,
                draw.between(15, 40),
                &errors,
            )]
        }
        6 => {
            let by_ms = draw.one(&[3_600_000, -3_600_000, 5000, -5000]);
            return (Vec::new(), vec![Step { at_ms: from, by_ms }]);
        }
        _ => {
            let (on, ms) = (draw.one(&[Role::Node, Role::Client]), draw.between(50, 150));
            vec![Rule::new(
                Call::Send,
                on,
                draw.between(20, 60),
                Does::HeldUp(ms),
            )]
        }
    };
    (rules, Vec::new())
}
