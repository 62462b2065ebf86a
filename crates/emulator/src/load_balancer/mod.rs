//! What a common balancer does with what its checks tell: pure state, so that a model of a whole
//! installation and a balancer on sockets act alike.

pub mod clients;

use std::time::Duration;

/// What an agent check has told: absent parts change nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Advice {
    /// The weight, as a percentage of what is configured.
    pub weight: Option<u32>,
    /// The administrative state.
    pub admin: Option<Admin>,
    /// The operational state: whether it is up.
    pub up: Option<bool>,
    /// The most connections.
    pub maxconn: Option<u32>,
}

/// The administrative state of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Admin {
    /// It takes its portion.
    #[default]
    Ready,
    /// It gets nothing new.
    Drain,
    /// It gets nothing, and is not checked.
    Maint,
}

/// Reads an agent's answer as the public description of the agent check has it: words set apart by
/// spaces, tabs or commas, of which at most one is administrative and one operational, a percentage, and
/// `maxconn:`; `#` begins a text for people. Stricter than balancers are: what they would pass over is
/// an error, so that a test shows it.
pub fn read_agent(line: &str) -> Result<Advice, String> {
    let end = line.find(['\r', '\n']).ok_or("no end of line")?;
    if !line[end..].trim_matches(['\r', '\n']).is_empty() {
        return Err("more than a line".into());
    }
    let words = line[..end].split('#').next().unwrap_or_default();
    if !line[..end].is_ascii() {
        return Err("not ASCII".into());
    }
    let mut advice = Advice::default();
    for word in words
        .split([' ', '\t', ','])
        .filter(|word| !word.is_empty())
    {
        let lower = word.to_ascii_lowercase();
        let admin = match lower.as_str() {
            "ready" => Some(Admin::Ready),
            "drain" => Some(Admin::Drain),
            "maint" => Some(Admin::Maint),
            _ => None,
        };
        let up = match lower.as_str() {
            "up" => Some(true),
            "down" | "fail" | "stopped" => Some(false),
            _ => None,
        };
        let twice = match (
            admin,
            up,
            lower.strip_suffix('%'),
            lower.strip_prefix("maxconn:"),
        ) {
            (Some(admin), ..) => advice.admin.replace(admin).is_some(),
            (_, Some(up), ..) => advice.up.replace(up).is_some(),
            (_, _, Some(share), _) => {
                let share = share
                    .parse()
                    .map_err(|_| format!("no percentage: {word}"))?;
                advice.weight.replace(share).is_some()
            }
            (_, _, _, Some(most)) => {
                let most = most.parse().map_err(|_| format!("no number: {word}"))?;
                advice.maxconn.replace(most).is_some()
            }
            _ => return Err(format!("no such word: {word}")),
        };
        if twice {
            return Err(format!("told twice: {word}"));
        }
    }
    if advice.admin == Some(Admin::Maint) && advice.up == Some(true) {
        return Err("in maintenance and up".into());
    }
    Ok(advice)
}

/// What a balancer holds of one server.
#[derive(Debug, Clone)]
pub struct Server {
    /// The weight in force, as a percentage.
    pub weight: u32,
    /// The administrative state.
    pub admin: Admin,
    /// Whether checks hold it for up.
    pub up: bool,
    row: u32,
    current: i64,
}

impl Default for Server {
    fn default() -> Server {
        Server {
            weight: 100,
            admin: Admin::Ready,
            up: true,
            row: 0,
            current: 0,
        }
    }
}

impl Server {
    fn effective(&self) -> i64 {
        if self.up && self.admin == Admin::Ready {
            i64::from(self.weight)
        } else {
            0
        }
    }
}

/// A balancer: smooth weighted round robin over its servers, with rise and fall counts for checks.
#[derive(Debug, Clone)]
pub struct Balancer {
    /// Its servers.
    pub servers: Vec<Server>,
    /// Good checks in a row that bring a server up.
    pub rise: u32,
    /// Bad checks in a row that bring it down.
    pub fall: u32,
}

impl Balancer {
    /// A balancer of so many servers, all up with their whole weight.
    pub fn new(servers: usize, rise: u32, fall: u32) -> Balancer {
        Balancer {
            servers: vec![Server::default(); servers],
            rise,
            fall,
        }
    }

    /// Takes what an agent has told.
    pub fn advised(&mut self, server: usize, advice: Advice) {
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        server.admin = advice.admin.unwrap_or(server.admin);
        server.weight = advice.weight.unwrap_or(server.weight);
        server.up = advice.up.unwrap_or(server.up);
    }

    /// Takes the result of a check: true for a good one.
    pub fn checked(&mut self, server: usize, good: bool) {
        let (rise, fall) = (self.rise, self.fall);
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        if good == server.up {
            server.row = 0;
            return;
        }
        server.row += 1;
        if server.row >= if good { rise } else { fall } {
            (server.up, server.row) = (good, 0);
        }
    }

    /// The server for the next connection: each round all gain their weight, the one that has most
    /// wins and pays the sum of all.
    pub fn pick(&mut self) -> Option<usize> {
        let total: i64 = self.servers.iter().map(Server::effective).sum();
        for server in &mut self.servers {
            server.current = if server.effective() == 0 {
                0
            } else {
                server.current + server.effective()
            };
        }
        let able = self
            .servers
            .iter_mut()
            .enumerate()
            .filter(|(_, server)| server.effective() > 0);
        let (n, server) = able.max_by_key(|(n, server)| (server.current, std::cmp::Reverse(*n)))?;
        server.current -= total;
        Some(n)
    }
}

/// How a balancer checks in a model: how often, and how late it acts on what it has read.
#[derive(Debug, Clone, Copy)]
pub struct Habits {
    /// Between polls of a server.
    pub interval: Duration,
    /// From the answer until traffic follows.
    pub delay: Duration,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn picks_follow_the_weights_smoothly() {
        let mut balancer = Balancer::new(3, 2, 3);
        for (server, weight) in [(0, 50), (1, 25), (2, 25)] {
            balancer.advised(
                server,
                Advice {
                    weight: Some(weight),
                    ..Advice::default()
                },
            );
        }
        let picks: Vec<usize> = (0..8).filter_map(|_| balancer.pick()).collect();
        assert_eq!(picks, [0, 1, 2, 0, 0, 1, 2, 0]);
        balancer.advised(
            0,
            Advice {
                admin: Some(Admin::Drain),
                ..Advice::default()
            },
        );
        let picks: Vec<usize> = (0..4).filter_map(|_| balancer.pick()).collect();
        assert_eq!(picks.iter().filter(|n| **n == 0).count(), 0);
    }

    #[test]
    fn rise_and_fall_count_checks_in_a_row() {
        let mut balancer = Balancer::new(1, 2, 3);
        let steps = [
            (false, true),
            (false, true),
            (true, true),
            (false, true),
            (false, true),
            (false, false),
            (true, false),
            (true, true),
        ];
        for (good, up) in steps {
            balancer.checked(0, good);
            assert_eq!(balancer.servers[0].up, up);
        }
    }

    #[test]
    fn agent_answers_are_read_strictly() {
        let good = [
            (
                "up ready 75%\n",
                Advice {
                    weight: Some(75),
                    admin: Some(Admin::Ready),
                    up: Some(true),
                    maxconn: None,
                },
            ),
            (
                "DRAIN,10%\r\n",
                Advice {
                    weight: Some(10),
                    admin: Some(Admin::Drain),
                    ..Advice::default()
                },
            ),
            (
                "maint # patching, up soon\n",
                Advice {
                    admin: Some(Admin::Maint),
                    ..Advice::default()
                },
            ),
            (
                "maxconn:30\tstopped\n",
                Advice {
                    up: Some(false),
                    maxconn: Some(30),
                    ..Advice::default()
                },
            ),
        ];
        for (line, advice) in good {
            assert_eq!(read_agent(line), Ok(advice), "{line:?}");
        }
        for bad in [
            "up",
            "up down\n",
            "drain ready\n",
            "10% 20%\n",
            "x%\n",
            "fine\n",
            "up\nup\n",
            "maint up\n",
            "up \u{e9}\n",
        ] {
            assert!(read_agent(bad).is_err(), "{bad:?}");
        }
    }
}
