# Development tasks; `just` lists them.

default:
    @just --list

# Format all code.
fmt:
    cargo fmt --all

# Run the linter as CI does.
lint:
    cargo clippy --locked --all-targets -- -D warnings

# Run all tests.
test:
    cargo test --locked

# Run everything that CI runs.
ci:
    bash .ci/run

# Run one instance with stand-ins for the platform and the upstreams, at the Guild's sizes.
demo:
    cargo run --release --example guild
