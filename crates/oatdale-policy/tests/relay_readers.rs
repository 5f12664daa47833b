//! Which nodes read the platform's records for the others.

use oatdale_policy::relay::{Reader, reads_for_others};

fn site(domains: usize, nodes: usize) -> Vec<(String, String)> {
    (0..nodes)
        .map(|n| {
            let domain = n % domains;
            (
                format!("front-{domain}-{}", n / domains),
                format!("d{domain}"),
            )
        })
        .collect()
}

fn readers(site: &[(String, String)]) -> Vec<(String, String)> {
    let all = || site.iter().map(|(host, domain)| Reader { host, domain });
    all()
        .filter(|own| reads_for_others(*own, all()))
        .map(|r| (r.host.to_owned(), r.domain.to_owned()))
        .collect()
}

// All nodes read by themselves what a few can tell the others: the calls would grow with the site, and with
// them their price.
#[test]
fn three_nodes_of_different_domains_read_at_any_size() {
    for nodes in [3, 7, 66, 360] {
        let mut domains: Vec<_> = readers(&site(3, nodes)).into_iter().map(|r| r.1).collect();
        domains.sort();
        assert_eq!(domains, ["d0", "d1", "d2"], "{nodes} nodes");
    }
    assert_eq!(readers(&site(1, 40)).len(), 3);
    assert_eq!(readers(&site(2, 40)).len(), 3);
    assert_eq!(readers(&site(5, 40)).len(), 3);
}

// A node that reads loses its power. Another one of its domain must take its part, and the parts of the
// others must stay, or all change them at the moment at which one is missing.
#[test]
fn a_reader_that_is_gone_is_replaced_and_the_others_stay() {
    let mut site = site(3, 66);
    let before = readers(&site);
    site.retain(|node| *node != before[0]);
    let after = readers(&site);
    assert_eq!(after.len(), 3);
    assert_eq!(after.iter().filter(|r| before.contains(r)).count(), 2);
}

#[test]
fn a_node_that_knows_no_other_reads() {
    let own = Reader {
        host: "a",
        domain: "d0",
    };
    assert!(reads_for_others(own, std::iter::empty()));
}
