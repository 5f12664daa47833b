//! The command line's grammar; its comments are what `--help` prints.

use crate::command::bills::Format;
use humantime::Duration;
use oatdale_config::{ChangeId, Ratio};
use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Puts configurations of oatdale in force and follows them.
    ///
    /// A first round:
    ///
    ///   oatdale check site.yaml                    find mistakes before anybody meets them
    ///   oatdale apply site.yaml --wait             put it in force on every node
    ///   oatdale show > site.yaml                   get the text in force, to edit it
    ///   oatdale diff site.yaml                     see what an apply would change
    ///   oatdale roll-out planner/2026-12 --share 5%
    ///   oatdale status
    ///
    /// Where the platform and the nodes are can be set once, in the environment:
    ///
    ///   OATDALE_KEY_VALUE=10.84.9.1:2400           the key-value service
    ///   OATDALE_NODES=10.84.1.1:8082,10.84.2.1:8082   `listen.admin` of some nodes
    ///   OATDALE_OPERATOR=mai                       your name in the history
    ///
    /// Exit codes:
    ///
    ///   0  done, or nothing was to be done
    ///   1  failed; nothing was changed
    ///   2  the command line is wrong
    ///   3  a text was refused; each problem is printed with its place
    ///   4  another operator's change is in force; nothing was changed
    ///   5  the service's answer was lost; the change may be in force or come into force
    ///   6  accepted, but not in force on every node within the time
    cmd oatdale {
        /// Address of the key-value service (else OATDALE_KEY_VALUE).
        optional --key-value addr: SocketAddr
        /// Admin address of a node, may be repeated (else OATDALE_NODES); it tells of the others.
        repeated --node addr: SocketAddr
        /// How long to try, such as `30s`; 15s unless set.
        optional --timeout time: Duration
        /// Your name in the history (else OATDALE_OPERATOR, else USER).
        optional --operator name: String
        /// Print one JSON value, for scripts.
        optional --json

        /// Check texts without changing anything.
        cmd check {
            /// The files are settings of nodes, not the operators' text.
            optional --settings
            /// Files to check; `-` reads standard input.
            repeated file: PathBuf
        }

        /// Put a text in force.
        ///
        /// The text must start from the revision in force: `oatdale show` writes that revision
        /// into the first line. If another operator was faster, nothing is changed, and what they
        /// changed is printed.
        cmd apply {
            /// The file; `-` reads standard input.
            required file: PathBuf
            /// The revision that the text started from, where its first line does not say so.
            optional --seen revision: u64
            /// Try again an apply that ended with exit code 5, by the change it printed.
            optional --change id: ChangeId
            /// Wait until every node has it, and show progress.
            optional --wait
        }

        /// Print the text in force, or that of an earlier revision.
        cmd show {
            /// The revision to print.
            optional --revision number: u64
            /// Leave out the first line, which says the revision.
            optional --plain
        }

        /// Print what differs, by meaning and by line.
        cmd diff {
            /// A file to compare with the text in force; `-` reads standard input.
            optional file: PathBuf
            /// In place of a file: the revision to compare from.
            optional --from revision: u64
            /// The revision to compare to; the one in force unless set.
            optional --to revision: u64
        }

        /// List who changed what, newest first.
        cmd history {
            /// How many revisions; 20 unless set.
            optional --limit number: usize
        }

        /// Give a version new sessions: a share as a canary, or all as a serving version.
        ///
        /// Edits the version's words in the text in force and leaves the rest as it is, comments
        /// included.
        cmd roll-out {
            /// The version, such as `planner/2026-12`.
            required version: String
            /// The share of new sessions, such as `5%`; all of them unless set.
            optional --share share: Ratio
            /// Wait until every node has it, and show progress.
            optional --wait
        }

        /// Give a version no new sessions; those that began on it go on.
        cmd drain {
            /// The version, such as `planner/2026-11`.
            required version: String
            /// Wait until every node has it, and show progress.
            optional --wait
        }

        /// Give a version nothing at all; sessions that began on it are refused.
        cmd withdraw {
            /// The version, such as `planner/2026-11`.
            required version: String
            /// Wait until every node has it, and show progress.
            optional --wait
        }

        /// Show every node with the revision it has in force.
        cmd status {}

        /// Work with the ledger of bills.
        cmd bills {
            /// Write the bills, one line for each request.
            ///
            /// Without `--truncate` nothing is removed, and the oldest bills of each shard are
            /// written. With it, all are: each part is removed from the service once it is safe
            /// in the output file, so a bill that is written twice after a crash has the same
            /// request id.
            cmd export {
                /// `jsonl` or `csv`; jsonl unless set.
                optional --format format: Format
                /// The file to append to; standard output unless set.
                optional --output file: PathBuf
                /// Remove what was written; needs `--output`.
                optional --truncate
            }
        }

        /// Make callers' keys and their digests.
        cmd key {
            /// Draw a new key and print it with its digest.
            cmd new {}
            /// Print the digest of a key that standard input holds.
            cmd digest {}
        }

        /// Run three nodes, the platform and the endpoints on this host, with a tour of the product.
        ///
        /// Takes under half a minute, needs nothing else and leaves nothing behind. Ends with exit
        /// code 1 if anything came out other than the tour says.
        cmd demo {
            /// Go on until interrupted, and print addresses and commands to try.
            optional --keep
            /// Write the nodes' log lines, one for each decision, to standard error.
            optional --verbose
        }
    }
}
