//! Prints the reference page: `cargo run -p carob-settings --example reference > docs/SETTINGS.md`.

fn main() {
    print!("{}", carob_settings::reference());
}
