//! Parses embeddings and rerank calls. Only what the gateway needs is kept, because the general form of a call
//! with many short inputs takes a multiple of the memory of its text.

use super::intake::BYTES_PER_TOKEN;
use serde::Deserialize;
use serde::de::{Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// Model, number of inputs, number of tokens, and number of entries in a complete answer of a call.
#[derive(Debug, PartialEq)]
pub(super) struct CallSummary {
    pub(super) model: String,
    pub(super) inputs: usize,
    pub(super) tokens: usize,
    pub(super) entries: usize,
}

/// The fields of an embeddings call that the gateway reads.
#[derive(Deserialize)]
struct Embeddings {
    model: String,
    input: InputSummary,
}

/// The fields of a rerank call that the gateway reads.
#[derive(Deserialize)]
struct Rerank {
    model: String,
    query: String,
    documents: Vec<DocumentLength>,
    #[serde(default)]
    top_n: Option<usize>,
}

fn estimate_tokens(bytes: usize) -> usize {
    bytes.div_ceil(BYTES_PER_TOKEN)
}

/// The inputs of an embeddings call: a text, a list of texts, a list of tokens, or a list of such lists.
struct InputSummary {
    inputs: usize,
    tokens: usize,
    has_empty_input: bool,
}

/// An element of the list of inputs.
#[derive(Clone, Copy)]
enum InputElement {
    /// A text of the given number of bytes.
    Text(usize),
    /// A token.
    Token,
    /// A list with the given number of tokens.
    Tokens(usize),
}

struct InputElementVisitor;

impl<'de> Visitor<'de> for InputElementVisitor {
    type Value = InputElement;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a text, a token or a list of tokens")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(InputElement::Text(text.len()))
    }

    fn visit_u64<E: Error>(self, token: u64) -> Result<Self::Value, E> {
        u32::try_from(token).map(|_| InputElement::Token).map_err(E::custom)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
        let mut count = 0;
        while list.next_element::<u32>()?.is_some() {
            count += 1;
        }
        Ok(InputElement::Tokens(count))
    }
}

impl<'de> Deserialize<'de> for InputElement {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(InputElementVisitor)
    }
}

struct InputVisitor;

impl<'de> Visitor<'de> for InputVisitor {
    type Value = InputSummary;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a text or a list")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Self::Value, E> {
        let tokens = estimate_tokens(text.len());
        Ok(InputSummary { inputs: 1, tokens, has_empty_input: text.is_empty() })
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
        let mut summary = InputSummary { inputs: 0, tokens: 0, has_empty_input: false };
        let mut first_element = None;
        while let Some(element) = list.next_element::<InputElement>()? {
            let first = *first_element.get_or_insert(element);
            if std::mem::discriminant(&first) != std::mem::discriminant(&element) {
                return Err(A::Error::custom("elements of different kinds"));
            }
            let (tokens, is_empty) = match element {
                InputElement::Text(bytes) => (estimate_tokens(bytes), bytes == 0),
                InputElement::Token => (1, false),
                InputElement::Tokens(count) => (count, count == 0),
            };
            summary.tokens += tokens;
            summary.has_empty_input |= is_empty;
            // A list of tokens is one input.
            summary.inputs = if matches!(first, InputElement::Token) { 1 } else { summary.inputs + 1 };
        }
        Ok(summary)
    }
}

impl<'de> Deserialize<'de> for InputSummary {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(InputVisitor)
    }
}

/// Number of bytes in a document, which is a text or an object with a text.
struct DocumentLength(usize);

struct DocumentVisitor;

impl<'de> Visitor<'de> for DocumentVisitor {
    type Value = DocumentLength;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a text or an object with a text")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(DocumentLength(text.len()))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut object: A) -> Result<Self::Value, A::Error> {
        let mut length = None;
        while let Some(name) = object.next_key::<String>()? {
            if name != "text" {
                object.next_value::<IgnoredAny>()?;
            } else if length.replace(object.next_value::<String>()?.len()).is_some() {
                return Err(A::Error::duplicate_field("text"));
            }
        }
        length.map(DocumentLength).ok_or_else(|| A::Error::missing_field("text"))
    }
}

impl<'de> Deserialize<'de> for DocumentLength {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(DocumentVisitor)
    }
}

/// Parses an embeddings call.
pub(super) fn parse_embeddings(body: &[u8]) -> Result<CallSummary, String> {
    let call: Embeddings = serde_json::from_slice(body).map_err(|_| "the body is no embeddings call")?;
    let InputSummary { inputs, tokens, has_empty_input } = call.input;
    if inputs == 0 || has_empty_input {
        return Err("input: empty".into());
    }
    Ok(CallSummary { model: call.model, inputs, tokens, entries: inputs })
}

/// Parses a rerank call.
pub(super) fn parse_rerank(body: &[u8]) -> Result<CallSummary, String> {
    let call: Rerank = serde_json::from_slice(body).map_err(|_| "the body is no rerank call")?;
    if call.query.is_empty() || call.documents.is_empty() {
        return Err("query or documents: empty".into());
    }
    if call.top_n == Some(0) {
        return Err("top_n: below 1".into());
    }
    let inputs = call.documents.len();
    let document_tokens = |document: &DocumentLength| estimate_tokens(call.query.len() + document.0);
    Ok(CallSummary {
        tokens: call.documents.iter().map(document_tokens).sum(),
        entries: call.top_n.map_or(inputs, |top| top.min(inputs)),
        inputs,
        model: call.model,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    // A call that no engine could answer is rejected before it is sent to an engine.
    #[rstest]
    #[case(r#"{"model":"m","input":"four characters"}"#, Some((1, 4, 1)))]
    #[case(r#"{"model":"m","input":["a","b"],"dimensions":8}"#, Some((2, 2, 2)))]
    #[case(r#"{"model":"m","input":[1,2,3]}"#, Some((1, 3, 1)))]
    #[case(r#"{"model":"m","input":[[1],[2,3]]}"#, Some((2, 3, 2)))]
    #[case(r#"{"model":"m","input":[[1],[]]}"#, None)]
    #[case(r#"{"model":"m","input":[[1],2]}"#, None)]
    #[case(r#"{"model":"m","input":["a",2]}"#, None)]
    #[case(r#"{"model":"m","input":[4294967296]}"#, None)]
    #[case(r#"{"model":"m","input":[-1]}"#, None)]
    #[case(r#"{"model":"m","input":{"a":1}}"#, None)]
    #[case(r#"{"model":"m","input":[]}"#, None)]
    #[case(r#"{"model":"m","input":["a",""]}"#, None)]
    #[case(r#"{"model":"m","input":7}"#, None)]
    #[case(r#"{"input":"a"}"#, None)]
    #[case("[]", None)]
    fn embeddings_call_is_parsed(#[case] body: &str, #[case] expected: Option<(usize, usize, usize)>) {
        let summary = parse_embeddings(body.as_bytes()).ok().map(|a| (a.inputs, a.tokens, a.entries));
        assert_eq!(summary, expected);
    }

    #[rstest]
    #[case(r#"{"model":"m","query":"ab","documents":["cd","ef"]}"#, Some((2, 2, 2)))]
    #[case(r#"{"model":"m","query":"ab","documents":[{"text":"cd"}],"top_n":9}"#, Some((1, 1, 1)))]
    #[case(r#"{"model":"m","query":"q","documents":["a","b","c"],"top_n":2}"#, Some((3, 3, 2)))]
    #[case(r#"{"model":"m","query":"q","documents":["a"],"top_n":0}"#, None)]
    #[case(r#"{"model":"m","query":"q","documents":[{"id":1,"text":"ab"},"c"]}"#, Some((2, 2, 2)))]
    #[case(r#"{"model":"m","query":"q","documents":[{"id":1}]}"#, None)]
    #[case(r#"{"model":"m","query":"q","documents":[1]}"#, None)]
    #[case(r#"{"model":"m","query":"q","documents":[]}"#, None)]
    #[case(r#"{"model":"m","query":"","documents":["a"]}"#, None)]
    #[case(r#"{"model":"m","documents":["a"]}"#, None)]
    fn rerank_call_is_parsed(#[case] body: &str, #[case] expected: Option<(usize, usize, usize)>) {
        let summary = parse_rerank(body.as_bytes()).ok().map(|a| (a.inputs, a.tokens, a.entries));
        assert_eq!(summary, expected);
    }
}
