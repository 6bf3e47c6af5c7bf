# Tasks of the project; `just` lists them.

default:
    @just --list

# Format all code.
fmt:
    cargo fmt --all

# Run the linter as CI does.
lint:
    cargo clippy --locked --all-targets -- -D warnings

# Run every test.
test:
    cargo test --locked

# Everything that CI runs.
ci:
    bash .ci/run

# Run one instance over stand-ins at the Guild's sizes.
demo:
    cargo run --release --example guild
