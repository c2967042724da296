# Tasks of geraniummast; `just` lists them.

# List the tasks
default:
    @just --list

# Check everything, as CI does
ci:
    .ci/run

# Format all code
fmt:
    cargo fmt --all

# Run all tests
test:
    cargo test --workspace --locked

# Lint with warnings denied
lint:
    cargo clippy --workspace --all-targets --locked -- -D warnings

# Build and open the documentation
doc:
    cargo doc --workspace --no-deps --document-private-items --locked --open

# Start store, servers and instances, cause faults, print what happened
demo *arguments:
    cargo run --release --locked --bin geraniummast-lab -- demo {{arguments}}

# Measure a scenario
measure scenario:
    cargo run --release --locked --bin geraniummast-lab -- measure {{scenario}}

# Play seeds of the fault soak over real processes
soak *arguments:
    cargo build --release --locked --package geraniummast-daemon --package geraniummast-soak
    target/release/geraniummast-soak {{arguments}}

# Print the daemon's settings with their origin
settings *flags:
    cargo run --locked --bin geraniummastd -- --print-settings {{flags}}
