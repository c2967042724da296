//! Processes of the project, started with the command of the deploy file.

use std::{
    fs::File,
    net::TcpListener,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

pub struct Instance {
    pub name: String,
    pub host: String,
    pub ports: Ports,
    settings: Vec<String>,
    log: String,
    child: Option<Child>,
}

/// Ports, the same for all instances.
#[derive(Clone, Copy)]
pub struct Ports {
    pub caller: u16,
    readiness: u16,
    control: u16,
    operator: u16,
    peer: u16,
    relay: u16,
}

impl Ports {
    /// Ports that are free at each of the hosts.
    pub fn find(hosts: &[String]) -> Self {
        let mut base = 20_000 + (std::process::id() % 2_000) as u16 * 10;
        loop {
            let is_free = |port: u16| {
                hosts
                    .iter()
                    .all(|host| TcpListener::bind((host.as_str(), port)).is_ok())
            };
            if (base..base + 6).all(is_free) {
                return Self {
                    caller: base,
                    readiness: base + 1,
                    control: base + 2,
                    operator: base + 3,
                    peer: base + 4,
                    relay: base + 5,
                };
            }
            base += 10;
        }
    }
}

impl Instance {
    /// Prepares the instances of a small deployment, at loopback addresses of their own.
    pub fn prepare(count: usize, store: &str, folder: &str) -> Vec<Self> {
        const ZONES: [&str; 3] = ["pnw-a", "pnw-b", "pnw-c"];
        let block = 1 + std::process::id() % 200;
        let hosts: Vec<String> = (0..count)
            .map(|n| format!("127.77.{block}.{}", n + 1))
            .collect();
        let ports = Ports::find(&hosts);
        let seeds: Vec<String> = hosts
            .iter()
            .take(3)
            .map(|host| format!("{host}:{}", ports.control))
            .collect();
        let instances = hosts.iter().enumerate().map(|(n, host)| {
            let zone = ZONES[n % 3];
            let name = format!("front-{zone}-{}", n / 3 + 1);
            // The arguments of `run` in deploy/system.toml, with the settings of circ-gateway.
            let settings = format!(
                "gateway --name {name} --data-centre {zone} --caller-address {host}:{} --readiness-address {host}:{} \
                 --operator-address {host}:{} --peer-address {host}:{} --feed-address {host}:{} \
                 --relay-address {host}:{} --seed-addresses={} --store-address {store} --stop-timeout-s 6 \
                 --drain-s 2 --evacuate-s= --max-hold-s 10 --retry-ratio 0.2 --retry-slack 56 \
                 --retry-window-s 10 --warmup-overage= --warmup-slack= --processor-share 0.2 \
                 --max-descriptors 4100 --memory-mb 260",
                ports.caller, ports.readiness, ports.operator, ports.peer, ports.control, ports.relay,
                seeds.join(","),
            );
            Self {
                name: name.clone(),
                log: format!("{folder}/{name}.log"),
                host: host.clone(),
                ports,
                settings: settings.split_whitespace().map(String::from).collect(),
                child: None,
            }
        });
        instances.collect()
    }

    pub fn start(&mut self, program: &str) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("log");
        let child = Command::new(program)
            .args(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("instance"));
    }

    pub fn caller_address(&self) -> String {
        format!("{}:{}", self.host, self.ports.caller)
    }

    /// Asks for readiness, as the platform does.
    pub fn is_ready(&self) -> bool {
        use std::io::{Read, Write};
        let address = format!("{}:{}", self.host, self.ports.readiness)
            .parse()
            .unwrap();
        let Ok(mut stream) =
            std::net::TcpStream::connect_timeout(&address, Duration::from_millis(500))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(900)));
        let _ =
            stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).is_ok() && &answer[9..12] == b"200"
    }

    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all instances say that they are ready.
pub fn wait_ready(instances: &[Instance], longest: Duration) -> bool {
    let started = Instant::now();
    while started.elapsed() < longest {
        if instances.iter().all(Instance::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
