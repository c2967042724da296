//! Parameters of a query string.

/// Percent-decoded value of the parameter `name`; `None` if it is absent, malformed or not UTF-8.
pub(crate) fn parameter(query: &str, name: &str) -> Option<String> {
    let value = query
        .split('&')
        .find_map(|parameter| parameter.strip_prefix(name)?.strip_prefix('='))?;
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.as_bytes();
    while let [first, tail @ ..] = rest {
        let (byte, tail) = match (first, tail) {
            (b'%', [high, low, tail @ ..]) => {
                let digit = |byte: &u8| char::from(*byte).to_digit(16);
                ((digit(high)? * 16 + digit(low)?) as u8, tail)
            }
            (b'%', _) => return None,
            (byte, tail) => (*byte, tail),
        };
        bytes.push(byte);
        rest = tail;
    }
    String::from_utf8(bytes).ok()
}
