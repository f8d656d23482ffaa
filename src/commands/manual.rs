//! `balsamchute manual`

use std::io::Write;

use bpaf::doc::Section;

/// Prints the manual page in roff.
pub fn run() {
    let page = super::command().render_manpage("balsamchute", Section::General, None, None, None);
    // A reader that has gone is no failure of the command.
    let _ = std::io::stdout().write_all(page.as_bytes());
}
