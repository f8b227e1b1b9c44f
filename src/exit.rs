//! Exit codes of the command, the same for every subcommand.

use std::process::ExitCode;

carob_base::plain! {
    /// How a subcommand ended.
    pub enum Exit {
        /// Everything asked for was done (0).
        Done,
        /// A check, an expected outcome or a change ticket was refused (1).
        Refused,
        /// Bad arguments, settings or input; nothing was started or sent (2).
        Usage,
        /// An instance or the platform could not be reached; whether the change was recorded is unknown (3).
        Unreachable,
        /// A change ticket was recorded, but some instances have not confirmed it in time (4).
        Pending,
    }
}

impl Exit {
    /// The code that the process returns.
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

/// An error that names its own exit code.
#[derive(Debug, thiserror::Error)]
#[error("{text}")]
pub struct Failure {
    /// How the subcommand ended.
    pub exit: Exit,
    /// What went wrong, for people.
    pub text: String,
}

/// Makes a report whose exit code is `exit`.
pub fn failure(exit: Exit, text: impl Into<String>) -> eyre::Report {
    eyre::Report::new(Failure {
        exit,
        text: text.into(),
    })
}

/// The exit code of a report; reports that name none are usage errors.
pub fn of_report(report: &eyre::Report) -> Exit {
    report
        .downcast_ref::<Failure>()
        .map_or(Exit::Usage, |failure| failure.exit)
}
