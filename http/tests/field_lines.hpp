#pragma once

#include <string>
#include <vector>

namespace laburnum::http {

/// Lines that are no header field: a name with a blank or a byte that is no
/// token, a folded line, a value with a control byte. Some of them would frame
/// the body of a response, "body", if they were accepted.
inline const std::vector<std::string>&
malformedFieldLines()
{
  using namespace std::string_literals;
  static const std::vector<std::string> lines{
    "X-A : y",
    "X-A\t: y",
    "X A: y",
    "X\tA: y",
    " X-A: y",
    "\tX-A: y",
    "X-A: y\r\n z",
    "X-A: y\r\n\tz",
    "X-A:\r\n y",
    "X-A: y\r\n ",
    "X-A:\r\n\t",
    "X-A: y\r\n \r\n\tz",
    "X-A: y\r\n Content-Length: 2",
    "X-A: y\r\n Transfer-Encoding: chunked",
    "Content-Length : 4",
    "Content-Length\t: 4",
    "Content Length: 4",
    " Content-Length: 4",
    "Content-Length:\r\n 4",
    "Content-Length: 4\r\n\t",
    "Transfer-Encoding : chunked",
    " Transfer-Encoding: chunked",
    "Transfer-Encoding:\r\n\tchunked",
    "X\x01"
    "A: y",
    "X\0A: y"s,
    "X\x1f"
    "A: y",
    "X-A\x01: y",
    "X\x7f"
    "A: y",
    "X\x80"
    "A: y",
    "X\xc3\xa4: y",
    "X\xff: y",
    "X(A): y",
    ": y",
    " : y",
    "no field",
    "X-A",
    "X\rA: y",
    "X\nA: y",
    "X-A: a\x01z",
    "X-A: a\0z"s,
    "X-A: a\x7fz",
    "X-A: a\rz",
    "X-A: a\nX-B: z",
  };
  return lines;
}

/// Lines that are header fields, with the text to which they are normalized.
struct FieldLine
{
  std::string line;
  std::string normalized;
};

inline const std::vector<FieldLine>&
wellFormedFieldLines()
{
  static const std::vector<FieldLine> lines{
    { "X-A: y", "X-A: y" },
    { "X-A:y", "X-A: y" },
    { "X-A: \ty \t", "X-A: y" },
    { "X-A: a b\tc  d", "X-A: a b\tc  d" },
    { "X-A: a: b", "X-A: a: b" },
    { "X-A:", "X-A: " },
    { "X-A:  \t", "X-A: " },
    { "X-A: \x80\xff", "X-A: \x80\xff" },
    { "!#$%&'*+-.^_`|~09aZ: y", "!#$%&'*+-.^_`|~09aZ: y" },
  };
  return lines;
}

} // namespace laburnum::http
