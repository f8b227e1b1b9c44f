//! Exit codes, shared by all subcommands.

use std::process::ExitCode;

carob_base::plain! {
    /// How a subcommand ended.
    pub enum Exit {
        /// The subcommand succeeded (0).
        Done,
        /// A request or change ticket was refused, or a check or an expected outcome failed (1).
        Refused,
        /// Invalid arguments, settings or input; nothing was started or sent (2).
        Usage,
        /// An instance or the platform could not be reached; whether the change was recorded is unknown (3).
        Unreachable,
        /// A change ticket was recorded, but some instances did not confirm it in time (4).
        Pending,
    }
}

impl Exit {
    /// Exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::Pending => 4,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}

/// An error that carries its exit code.
#[derive(Debug, thiserror::Error)]
#[error("{text}")]
pub struct Failure {
    pub exit: Exit,
    /// Message for the user.
    pub text: String,
}

/// Builds a report that carries the exit code `exit`.
pub fn failure(exit: Exit, text: impl Into<String>) -> eyre::Report {
    eyre::Report::new(Failure {
        exit,
        text: text.into(),
    })
}

/// Exit code that a report carries; [`Exit::Usage`] if it carries none.
pub fn of_report(report: &eyre::Report) -> Exit {
    report
        .downcast_ref::<Failure>()
        .map_or(Exit::Usage, |failure| failure.exit)
}
