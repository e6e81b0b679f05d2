//! What is drawn: a small generator, and the kinds of fault.

use ternpick_fault_injection::{Call, Effect as Does, Role, Rule, Step};

pub(crate) use crate::common::draw::Draw;

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
