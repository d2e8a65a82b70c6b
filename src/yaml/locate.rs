//! Finds the line of a field in a YAML document for error messages.

use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::Spanned;

/// Returns the line on which the field at `path` starts, such as `services.ledger.routes[0]`.
///
/// If the path leads beyond the document, returns the line of the last part that exists.
pub fn line_of(text: &str, path: &str) -> Option<u64> {
    let tree: Tree = serde_saphyr::from_str(text).ok()?;
    let mut line = None;
    let mut rest = path;
    let mut tree = &tree;
    while let Some(child) = tree.child(rest) {
        line = Some(child.line);
        rest = child.rest;
        tree = child.tree;
    }
    line
}

/// Structure of a document with the lines of its fields, without values.
enum Tree {
    Map(Vec<(Spanned<String>, Tree)>),
    List(Vec<Spanned<Tree>>),
    Leaf,
}

/// A child of a tree node that matches the first part of a path.
struct Child<'a> {
    line: u64,
    rest: &'a str,
    tree: &'a Tree,
}

impl Tree {
    fn child<'a>(&'a self, path: &'a str) -> Option<Child<'a>> {
        match self {
            Tree::Map(entries) => entries.iter().find_map(|(key, tree)| {
                let rest = path.strip_prefix(key.value.as_str())?;
                let ends = rest.is_empty() || rest.starts_with(['.', '[']);
                let rest = rest.strip_prefix('.').unwrap_or(rest);
                ends.then(|| Child { line: key.referenced.line(), rest, tree })
            }),
            Tree::List(items) => {
                let (index, rest) = path.strip_prefix('[')?.split_once(']')?;
                let item = items.get(index.parse::<usize>().ok()?)?;
                let rest = rest.strip_prefix('.').unwrap_or(rest);
                Some(Child { line: item.referenced.line(), rest, tree: &item.value })
            }
            Tree::Leaf => None,
        }
    }
}

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TreeVisitor)
    }
}

struct TreeVisitor;

impl<'de> Visitor<'de> for TreeVisitor {
    type Value = Tree;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tree, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Tree::Map(entries))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Tree, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Tree::List(items))
    }

    fn visit_bool<E>(self, _: bool) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_str<E>(self, _: &str) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_unit<E>(self) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_none<E>(self) -> Result<Tree, E> {
        Ok(Tree::Leaf)
    }

    fn visit_some<D: Deserializer<'de>>(self, inner: D) -> Result<Tree, D::Error> {
        IgnoredAny::deserialize(inner).map(|_| Tree::Leaf)
    }
}
