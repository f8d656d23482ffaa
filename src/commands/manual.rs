//! `balsamchute manual`: prints the manual page.

use std::io::Write;

use bpaf::doc::Section;

/// Prints the manual page of all commands in roff format.
pub fn run() {
    let page = super::command().render_manpage("balsamchute", Section::General, None, None, None);
    // A reader that closes the pipe early is not an error.
    let _ = std::io::stdout().write_all(page.as_bytes());
}
