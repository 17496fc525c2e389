// Settings that operators apply (Service) and settings of one process (Instance, Role).

namespace py settings

struct FrontDoor {
  1: string address
  2: string kind
}

struct Service {
  1: string name
  2: list<FrontDoor> front_doors
  3: list<string> data_centres
  4: i32 deadline_ms = 10000
  5: i32 idle_seconds = 7200
  6: i32 warm_up_seconds = 5
  7: double retry_ratio = 0.1
  8: double balance = 1.02
  9: double objective = 0.999
}

struct Instance {
  1: string name
  2: string data_centre
  3: string site
  4: string address
  5: list<string> peers
  6: list<string> fabric
  7: string registry
  8: string key_file
  9: string data_folder = ""
  10: list<string> replicas
  11: string statsd = ""
  12: string log_level = "INFO"
  13: i32 stop_seconds = 20
  14: i32 control_bytes_per_second = 4096
  15: i32 takeover_seconds = 60
  16: list<string> bridges
}

struct Site {
  1: string name
  2: list<string> data_centres
  3: list<string> control
  4: string key_file
}

// Settings of one process of a site that routes flows by cookies.
struct Role {
  1: string role
  2: string name
  3: string data_centre
  4: string ip
  // Port of the links between processes, the same on all instances.
  5: i32 link_port
  // Addresses of control replicas; their links are opened at `link_port`.
  6: list<string> seeds
  // Addresses of the packet socket, of the readiness probe, and of the HTTP API for operators
  // and upstreams; empty if the role has none.
  7: string packets = ""
  8: string readiness = ""
  9: string operators = ""
  // The site starts for the first time, with empty disks.
  10: bool founding = false
  11: string data_folder = ""
  12: string key
  13: i32 heartbeat_ms = 1000
  14: double stop_seconds = 6.0
  // How many instances with disks may be lost at the same time.
  15: i32 tolerated_losses = 1
  16: string log_level = "INFO"
  // Address of the Prometheus metrics; empty for none.
  17: string metrics = ""
  // The data centres of the site, which evacuations may name; empty if they are not known.
  18: list<string> data_centres
  // Capacity of the network link of the machine; 0 if it is not known.
  19: double link_mbps = 0.0
  // How long an instance that is back, or the successor of one, still counts as lost.
  20: double catch_up_seconds = 4.0
  // How soon the address of an upstream that has ended may be in use again; 0 if not before
  // its lease has expired.
  21: double address_reuse_seconds = 0.0
}
