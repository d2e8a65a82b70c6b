//! Finds the places of values in JSON documents, for error messages.

/// Deepest nesting of a document that is scanned, which is also the deepest that the parser accepts.
const MAX_DEPTH: usize = 128;

/// A value of a document.
#[derive(Debug)]
struct Place {
    /// Path of the value, such as `routes[0].timeout_ms`; empty for the whole document.
    path: String,
    /// Line on which the value begins.
    line: u64,
    /// Offset of the first byte.
    start: usize,
    /// Offset after the last byte; the largest number if the value does not end.
    end: usize,
}

/// The places of all values of a document.
#[derive(Debug)]
pub struct Places {
    /// The values in the order in which they begin.
    places: Vec<Place>,
    /// Offsets at which the lines begin.
    lines: Vec<usize>,
}

impl Places {
    /// Finds the values of a document; of a malformed one, those before the fault.
    pub fn scan(text: &str) -> Self {
        let mut scanner = Scanner { bytes: text.as_bytes(), at: 0, line: 1, places: Vec::new() };
        scanner.value(String::new(), 0);
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let lines = std::iter::once(0).chain(breaks.map(|(offset, _)| offset + 1));
        Self { places: scanner.places, lines: lines.collect() }
    }

    /// Returns the line of the value at `path`, or of the innermost value around it that exists.
    pub fn line_of(&self, path: &str) -> Option<u64> {
        let mut path = path;
        loop {
            if let Some(place) = self.places.iter().find(|place| place.path == path) {
                return Some(place.line);
            }
            path = &path[..path.rfind(['.', '['])?];
        }
    }

    /// Returns the path of the innermost value at a line and a column, which count from one.
    pub fn path_at(&self, line: usize, column: usize) -> Option<&str> {
        let offset = self.lines.get(line.checked_sub(1)?)? + column.saturating_sub(1);
        let around = |place: &&Place| place.start <= offset && offset < place.end;
        self.places.iter().rev().find(around).map(|place| &*place.path)
    }
}

/// Reads a document from its beginning. Each method returns `None` where the document is malformed.
struct Scanner<'a> {
    bytes: &'a [u8],
    /// Offset of the next byte.
    at: usize,
    /// Line of the next byte.
    line: u64,
    places: Vec<Place>,
}

impl Scanner<'_> {
    /// Skips white space and returns the next byte without reading it.
    fn peek(&mut self) -> Option<u8> {
        loop {
            let byte = *self.bytes.get(self.at)?;
            if !byte.is_ascii_whitespace() {
                return Some(byte);
            }
            self.line += u64::from(byte == b'\n');
            self.at += 1;
        }
    }

    /// Skips white space and reads the next byte.
    fn next(&mut self) -> Option<u8> {
        let byte = self.peek()?;
        self.at += 1;
        Some(byte)
    }

    fn value(&mut self, path: String, depth: usize) -> Option<()> {
        let first = self.peek().filter(|_| depth < MAX_DEPTH)?;
        let index = self.places.len();
        let (line, start) = (self.line, self.at);
        self.places.push(Place { path: path.clone(), line, start, end: usize::MAX });
        match first {
            b'{' => self.object(&path, depth)?,
            b'[' => self.list(&path, depth)?,
            b'"' => drop(self.string()?),
            _ => self.scalar(),
        }
        self.places[index].end = self.at;
        Some(())
    }

    fn object(&mut self, path: &str, depth: usize) -> Option<()> {
        self.next()?;
        if self.peek()? == b'}' {
            return self.next().map(drop);
        }
        loop {
            self.peek().filter(|byte| *byte == b'"')?;
            let key = self.string()?;
            self.next().filter(|byte| *byte == b':')?;
            let child = if path.is_empty() { key } else { format!("{path}.{key}") };
            self.value(child, depth + 1)?;
            match self.next()? {
                b',' => {}
                b'}' => return Some(()),
                _ => return None,
            }
        }
    }

    fn list(&mut self, path: &str, depth: usize) -> Option<()> {
        self.next()?;
        if self.peek()? == b']' {
            return self.next().map(drop);
        }
        for index in 0.. {
            self.value(format!("{path}[{index}]"), depth + 1)?;
            match self.next()? {
                b',' => {}
                b']' => break,
                _ => return None,
            }
        }
        Some(())
    }

    /// Reads a string and returns what stands between its quotes, with its escapes as written.
    fn string(&mut self) -> Option<String> {
        self.next()?;
        let start = self.at;
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => break,
                b'\\' => self.at += 2,
                b'\n' => return None,
                _ => self.at += 1,
            }
        }
        let text = String::from_utf8_lossy(&self.bytes[start..self.at]).into_owned();
        self.at += 1;
        Some(text)
    }

    /// Reads a number or a word.
    fn scalar(&mut self) {
        let rest = &self.bytes[self.at..];
        let is_end = |byte: &u8| byte.is_ascii_whitespace() || b",]}".contains(byte);
        self.at += rest.iter().position(is_end).unwrap_or(rest.len());
    }
}
