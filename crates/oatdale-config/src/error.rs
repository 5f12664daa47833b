//! What is wrong with a text, where, and what to write instead.

use std::fmt;

/// Result of reading a text.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Everything that was found wrong with one text, in the order of its lines.
///
/// Displayed, each problem has a line of its own, `file:line:column: category: message`, and a
/// second one that says what to write instead.
#[derive(Clone, PartialEq, Eq)]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Clone, PartialEq, Eq)]
struct Inner {
    file: Option<String>,
    problems: Vec<Problem>,
}

/// One thing that is wrong with a text.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Problem {
    /// Line, from 1; problems of the whole text stand at its beginning.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// What sort of problem it is.
    pub category: Category,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub help: Option<String>,
}

/// What sort of problem it is.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Category {
    /// The text is not YAML.
    Syntax,
    /// A field is unknown, missing, given twice or of the wrong type.
    Field,
    /// A name is malformed, defined twice or not defined at all.
    Name,
    /// A value is malformed or out of its range.
    Value,
    /// Each value is fine by itself, but together they can't work.
    Rule,
}

impl Error {
    pub(crate) fn new(mut problems: Vec<Problem>) -> Self {
        problems.sort_by_key(|p| (p.line, p.column));
        let file = None;
        Error {
            inner: Box::new(Inner { file, problems }),
        }
    }

    /// The same error with the name of the file that the text came from.
    pub fn in_file(mut self, file: impl Into<String>) -> Self {
        self.inner.file = Some(file.into());
        self
    }

    /// All problems, in the order of the text; there is at least one.
    pub fn problems(&self) -> &[Problem] {
        &self.inner.problems
    }

    /// The line of the first problem, from 1.
    pub fn line(&self) -> u32 {
        self.inner.problems[0].line
    }

    /// The column of the first problem, from 1.
    pub fn column(&self) -> u32 {
        self.inner.problems[0].column
    }

    /// The category of the first problem.
    pub fn category(&self) -> Category {
        self.inner.problems[0].category
    }
}

impl From<Problem> for Error {
    fn from(problem: Problem) -> Self {
        Error::new(vec![problem])
    }
}

impl std::error::Error for Error {}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.inner.file.as_deref().unwrap_or("text");
        for (index, problem) in self.inner.problems.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{file}:{problem}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({self})")
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem { line, column, .. } = self;
        write!(f, "{line}:{column}: {}: {}", self.category, self.message)?;
        match &self.help {
            Some(help) => write!(f, "\n  help: {help}"),
            None => Ok(()),
        }
    }
}

impl Category {
    /// The word that messages use.
    pub fn as_str(self) -> &'static str {
        match self {
            Category::Syntax => "syntax",
            Category::Field => "field",
            Category::Name => "name",
            Category::Value => "value",
            Category::Rule => "rule",
        }
    }
}

impl fmt::Display for Category {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
