//! The events of a trace, done to the platform, the links and the hosts.

use super::FleetBus;
use crate::fleet::{
    host::{HostPhase, TraceHost},
    links::LinkFaults,
    trace::{ALL, TraceStep},
};
use kws_protocol::{HostName, TreeRevision};
use std::time::Duration;

impl FleetBus<'_> {
    pub(super) fn step(&mut self, step: &TraceStep) {
        match step {
            TraceStep::Publish(publish) => {
                let ended = self.platform.publish(publish);
                self.reply_all(ended);
            }
            TraceStep::PlatformDown => self.set_down(true),
            TraceStep::PlatformUp => self.set_down(false),
            TraceStep::Stale(stale) => {
                self.set_replicas(&stale.hosts, Some(TreeRevision::first(stale.revision)));
            }
            TraceStep::Fresh(names) => self.set_replicas(names, None),
            TraceStep::Cut(link) => {
                self.each_link(&link.from, &link.to, LinkFaults::cut);
            }
            TraceStep::Heal(link) => {
                self.each_link(&link.from, &link.to, LinkFaults::heal);
            }
            TraceStep::Slow(link) => {
                let delay = Duration::from_secs_f64(link.seconds);
                self.each_link(&link.from, &link.to, |links, from, to| {
                    links.slow(from, to, delay);
                });
            }
            TraceStep::Lossy(link) => {
                self.each_link(&link.from, &link.to, |links, from, to| {
                    links.lose(from, to, link.every);
                });
            }
            TraceStep::Pause(names) => self.set_phase(names, HostPhase::Paused),
            TraceStep::Kill(names) => self.set_phase(names, HostPhase::Dead),
            TraceStep::Resume(names) => self.resume(names),
            TraceStep::Start(start) => self.start_host(&start.host, &start.region),
        }
    }

    fn set_down(&mut self, down: bool) {
        let ended = self.platform.set_down(down);
        self.reply_all(ended);
    }

    fn set_replicas(&mut self, names: &[String], revision: Option<TreeRevision>) {
        for name in self.expand(names) {
            let ended = self.platform.set_replica(&name, revision);
            self.reply_all(ended);
        }
    }

    fn set_phase(&mut self, names: &[String], phase: HostPhase) {
        for name in self.expand(names) {
            let host = self.hosts.get_mut(&name);
            if let Some(host) = host.filter(|host| host.phase != HostPhase::Dead) {
                host.phase = phase;
            }
        }
    }

    /// A woken host decides before it reads what came meanwhile.
    fn resume(&mut self, names: &[String]) {
        self.set_phase(names, HostPhase::Running);
        self.check();
        for name in self.expand(names) {
            if let Some(host) = self.hosts.get_mut(&name) {
                let backlog = std::mem::take(&mut host.backlog);
                for event in backlog {
                    self.queue_in(Duration::ZERO, event);
                }
            }
        }
    }

    fn each_link(
        &mut self,
        from: &[String],
        to: &[String],
        change: impl Fn(&mut LinkFaults, &HostName, &HostName),
    ) {
        let ends = self.expand(to);
        for from in self.expand(from) {
            for to in ends.iter().filter(|to| **to != from) {
                change(&mut self.links, &from, to);
            }
        }
    }

    /// The hosts, or the platform, that names stand for.
    pub(super) fn expand(&self, names: &[String]) -> Vec<HostName> {
        names
            .iter()
            .flat_map(|name| self.expand_name(name))
            .collect()
    }

    fn expand_name(&self, name: &str) -> Vec<HostName> {
        let in_group = |host: &&TraceHost| name == ALL || host.identity.region.as_str() == name;
        let group: Vec<HostName> = self
            .hosts
            .values()
            .filter(in_group)
            .map(|host| host.identity.name.clone())
            .collect();
        if group.is_empty() {
            vec![HostName::new(name)]
        } else {
            group
        }
    }
}
