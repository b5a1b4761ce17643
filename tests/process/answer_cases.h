#pragma once

#include <string>
#include <vector>

namespace carawayrelay {

// The bytes of one answer, and what is special about its head.
struct AnswerCase {
  std::string what;
  std::string bytes;
};

// An answer of status 200 with the body "text", the given lines in its head and
// nothing else that delimits its body.
inline std::string AnswerWithLines(const std::string& lines,
                                   const std::string& body = "text") {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + lines +
         "\r\n\r\n" + body;
}

// The same with a length.
inline std::string AnswerWithField(const std::string& line) {
  return AnswerWithLines(line + "\r\nContent-Length: 4");
}

inline std::string AnswerWithStatusLine(const std::string& line) {
  return line + "\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ntext";
}

inline constexpr const char* kChunkedText = "4\r\ntext\r\n0\r\n\r\n";

inline std::string WithByte(const std::string& before,
                            int byte,
                            const std::string& after) {
  return before + static_cast<char>(byte) + after;
}

// Control bytes other than NUL, tab and line feed.
inline std::vector<int> ControlBytes() {
  std::vector<int> bytes = {0x7f};
  for (int byte = 1; byte < 0x20; ++byte) {
    if (byte != '\t' && byte != '\n') {
      bytes.push_back(byte);
    }
  }
  return bytes;
}

// Lines whose name is no token (RFC 9110, 5.6.2), and lines that continue the
// one before (RFC 9112, 5.2).
inline std::vector<AnswerCase> AnswersWithMalformedNames() {
  std::vector<AnswerCase> cases = {
      {"blank in the name", AnswerWithField("X Note: v")},
      {"blank before the colon", AnswerWithField("X-Note : v")},
      {"tab in the name", AnswerWithField("X\tNote: v")},
      {"tab before the colon", AnswerWithField("X-Note\t: v")},
      {"blank before the name", AnswerWithField(" X-Note: v")},
      {"tab before the name", AnswerWithField("\tX-Note: v")},
      {"empty name", AnswerWithField(": v")},
      {"byte over 0x7f in the name", AnswerWithField("X-Not\xe9: v")},
      {"status line among the fields", AnswerWithField("HTTP/1.1 200 OK: v")},
      {"line that continues a value", AnswerWithField("X-Note: v\r\n w")},
      {"length with a blank before the colon",
       AnswerWithLines("Content-Length : 4", "text and more")},
      {"length with a tab before the colon",
       AnswerWithLines("Content-Length\t: 4", "text and more")},
      {"length with a blank in its name",
       AnswerWithLines("Content Length: 400")},
      {"length with a blank before its name",
       AnswerWithLines(" Content-Length: 4", "text and more")},
      {"length on a line that continues its field",
       AnswerWithLines("Content-Length:\r\n 4", "text and more")},
      {"coding with a blank before the colon",
       AnswerWithLines("Transfer-Encoding : chunked", kChunkedText)},
      {"coding with a tab before the colon",
       AnswerWithLines("Transfer-Encoding\t: chunked", kChunkedText)},
      {"coding with a blank before its name",
       AnswerWithLines(" Transfer-Encoding: chunked", kChunkedText)},
      {"NUL in the last line end",
       std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r") + '\0' +
           "\ntext"},
      {"malformed line in an interim answer",
       "HTTP/1.1 103 Early Hints\r\nX Note: v\r\n\r\n" +
           AnswerWithField("A: b")},
  };
  for (const int byte : ControlBytes()) {
    const std::string what = "control byte " + std::to_string(byte);
    cases.push_back({what + " in the name",
                     AnswerWithField(WithByte("X-No", byte, "te: v"))});
    cases.push_back({what + " before the name",
                     AnswerWithField(WithByte("", byte, "X-Note: v"))});
    cases.push_back(
        {what + " before the colon of the length",
         AnswerWithLines(WithByte("Content-Length", byte, ": 400"))});
  }
  for (const char separator : std::string("\"(),/;<=>?@[\\]{}")) {
    cases.push_back({std::string("name with ") + separator,
                     AnswerWithField(WithByte("X", separator, "Note: v"))});
  }
  return cases;
}

// Lines whose value has a control byte (RFC 9110, 5.5).
inline std::vector<AnswerCase> AnswersWithMalformedValues() {
  std::vector<AnswerCase> cases;
  for (const int byte : ControlBytes()) {
    const std::string what = "control byte " + std::to_string(byte);
    cases.push_back({what + " in a value",
                     AnswerWithField(WithByte("X-Note: v", byte, "w"))});
    cases.push_back({what + " before a value",
                     AnswerWithField(WithByte("X-Note: ", byte, "v"))});
    cases.push_back({what + " after a value",
                     AnswerWithField(WithByte("X-Note: v", byte, ""))});
    cases.push_back({what + " in the value of an interim answer",
                     "HTTP/1.1 103 Early Hints\r\n" +
                         WithByte("X-Note: v", byte, "w\r\n\r\n") +
                         AnswerWithField("A: b")});
  }
  return cases;
}

// Lengths that are no number, too large, or differ (RFC 9110, 8.6).
inline std::vector<AnswerCase> AnswersWithMalformedLengths() {
  std::vector<AnswerCase> cases;
  for (const char* value :
       {"", " ", "four", "4x", "x4", "4 4", "4;", "0x4", "+4", "4.0", "4,",
        ",4", "4, 5", "5, 4", "4, x", "9223372036854775808",
        "18446744073709551616", "18446744073709551620",
        "99999999999999999999999999"}) {
    cases.push_back({std::string("length '") + value + "'",
                     AnswerWithLines(std::string("Content-Length: ") + value)});
  }
  cases.push_back(
      {"two lengths, the second too long",
       AnswerWithLines("Content-Length: 4\r\nContent-Length: 400")});
  cases.push_back(
      {"two lengths, the first too long",
       AnswerWithLines("Content-Length: 400\r\nContent-Length: 4")});
  cases.push_back({"two lengths, both too short",
                   AnswerWithLines("Content-Length: 1\r\nContent-Length: 2")});
  return cases;
}

// Transfer codings other than "chunked" alone, which no request asks for, and
// codings where none may be (RFC 9112, 6.1).
inline std::vector<AnswerCase> AnswersWithMalformedCodings() {
  std::vector<AnswerCase> cases;
  for (const char* value :
       {"", "x", "gzip", "identity", "xchunked", "chunkedx", "chun ked",
        "\"chunked\"", "chunked;a=b", "chunked, chunked", "chunked, gzip",
        "gzip, chunked", "chunked chunked"}) {
    for (const char* body : {"text", kChunkedText}) {
      cases.push_back(
          {std::string("coding '") + value + "' of '" + body + "'",
           AnswerWithLines(std::string("Transfer-Encoding: ") + value, body)});
    }
  }
  cases.push_back(
      {"chunked twice", AnswerWithLines("Transfer-Encoding: chunked\r\n"
                                        "Transfer-Encoding: chunked",
                                        kChunkedText)});
  cases.push_back(
      {"length before chunks", AnswerWithLines("Content-Length: 4\r\n"
                                               "Transfer-Encoding: chunked",
                                               kChunkedText)});
  cases.push_back({"chunks before a length",
                   AnswerWithLines("Transfer-Encoding: chunked\r\n"
                                   "Content-Length: 4",
                                   kChunkedText)});
  cases.push_back(
      {"chunks in HTTP/1.0", std::string("HTTP/1.0 200 OK\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n") +
                                 kChunkedText});
  return cases;
}

// Status lines with a version that is none, or with more than three digits,
// a blank and a text behind it (RFC 9112, 4).
inline std::vector<AnswerCase> AnswersWithMalformedStatusLines() {
  std::vector<AnswerCase> cases;
  for (const char* line :
       {"HTTP/1.1 200OK",    "HTTP/1.1 200x OK",    "HTTP/1.1 200-OK",
        "HTTP/1.1 2000 OK",  "HTTP/1.1 200\tOK",    "HTTP/1.1\t200 OK",
        "HTTP/1.1  200 OK",  "HTTP/1.1200 OK",      "HTTP/1.1-200 OK",
        "HTTP/1 200 OK",     "HTTP/1. 200 OK",      "HTTP/.1 200 OK",
        "HTTP/11 200 OK",    "HTTP/1.x 200 OK",     "HTTP/x.1 200 OK",
        "HTTP/1.10 200 OK",  "HTTP/01.1 200 OK",    "HTTP/0.9 200 OK",
        "HTTP/2 200 OK",     "HTTP/2.0 200 OK",     "HTTP/3 200 OK",
        "HTTP/9.9 200 OK",   "HTTP 200 OK",         "HTTP/ 200 OK",
        "http/1.1 200 OK",   "Http/1.1 200 OK",     "HTTPS/1.1 200 OK",
        "HTTP /1.1 200 OK",  " HTTP/1.1 200 OK",    "ICY 200 OK",
        "HTTP/1.1 200 \x01", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK"}) {
    cases.push_back({std::string("status line '") + line + "'",
                     AnswerWithStatusLine(line)});
  }
  // No request asks for another protocol.
  cases.push_back(
      {"switch of protocols",
       "HTTP/1.1 101 Switching Protocols\r\n\r\n" + AnswerWithField("A: b")});
  return cases;
}

// Heads that were never taken for an answer.
inline std::vector<AnswerCase> OtherBrokenAnswers() {
  std::vector<AnswerCase> cases = {
      {"line without a colon", AnswerWithField("X-Note")},
      {"line feed in a name", AnswerWithField("X-No\nte: v")},
      {"line feed in a value", AnswerWithField("X-Note: v\nw")},
      {"empty line before the status line", "\r\n" + AnswerWithField("A: b")},
  };
  for (const char* value : {"-1", "-4", "-0", "-9223372036854775809"}) {
    cases.push_back({std::string("length '") + value + "'",
                     AnswerWithLines(std::string("Content-Length: ") + value)});
  }
  for (const char* status : {"000", "001", "099", "600", "999", "1000", "20",
                             "2", "2x0", "x00", "0200", "-200", "+200", ""}) {
    cases.push_back(
        {std::string("status '") + status + "'",
         AnswerWithStatusLine(std::string("HTTP/1.1 ") + status + " Odd")});
    cases.push_back({std::string("status '") + status + "' alone",
                     AnswerWithStatusLine(std::string("HTTP/1.1 ") + status)});
  }
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Note: v\r\nContent-Length: 4\r\n\r\n";
  // One in the last line end stands with the malformed names.
  for (size_t at = 0; at + 1 < head.size(); ++at) {
    cases.push_back(
        {"NUL before byte " + std::to_string(at),
         head.substr(0, at) + std::string(1, '\0') + head.substr(at) + "text"});
  }
  return cases;
}

// Whole answers behind interim ones with a length or a coding, which say
// nothing of a body (RFC 9112, 6.3).
inline std::vector<AnswerCase> AnswersBehindFramedInterimOnes() {
  std::vector<AnswerCase> cases;
  for (const char* line :
       {"Content-Length: 0", "Content-Length: 2", "Content-Length: 400",
        "Transfer-Encoding: chunked"}) {
    const std::string interim =
        "HTTP/1.1 103 Early Hints\r\n" + std::string(line) + "\r\n\r\n";
    cases.push_back({std::string(line) + ", then a length",
                     interim + AnswerWithField("X-Note: v")});
    cases.push_back({std::string(line) + ", then an end with the connection",
                     interim + AnswerWithLines("X-Note: v")});
    cases.push_back({std::string(line) + ", then chunks",
                     interim + AnswerWithLines("Transfer-Encoding: chunked",
                                               kChunkedText)});
  }
  return cases;
}

// Whole answers with the body "text" whose heads are rare and sound.
inline std::vector<AnswerCase> RareSoundAnswers() {
  return {
      {"no reason", AnswerWithStatusLine("HTTP/1.1 200 ")},
      {"no blank and no reason", AnswerWithStatusLine("HTTP/1.1 200")},
      {"reason of other bytes",
       AnswerWithStatusLine("HTTP/1.1 200 Tr\xc3\xa8s \t bien (200/1.1): ok")},
      {"HTTP/1.0", AnswerWithStatusLine("HTTP/1.0 200 OK")},
      {"name in lower case", AnswerWithField("x-note: v")},
      {"name in upper case", AnswerWithField("X-NOTE: v")},
      {"name of one byte", AnswerWithField("X: v")},
      {"all characters of tokens", AnswerWithField("!#$%&'*+-.^_`|~09azAZ: v")},
      {"no blank before the value", AnswerWithField("X-Note:v")},
      {"blanks around the value", AnswerWithField("X-Note:  \t v \t ")},
      {"empty value", AnswerWithField("X-Note:")},
      {"value of blanks", AnswerWithField("X-Note: \t ")},
      {"tab in the value", AnswerWithField("X-Note: v\tw")},
      {"bytes over 0x7f in the value", AnswerWithField("X-Note: \x80\xe9\xff")},
      {"colons and quotes in the value",
       AnswerWithField("X-Note: a: \"b:c\" <d>; e=(f), {g}\\h")},
      {"the same name twice", AnswerWithField("X-Note: v\r\nX-Note: w")},
      {"line feeds alone",
       "HTTP/1.1 200 OK\nX-Note: v\nContent-Length: 4\n\ntext"},
      {"length in upper case, without a blank",
       AnswerWithLines("CONTENT-LENGTH:4")},
      {"length with blanks around", AnswerWithLines("Content-Length: \t 4 \t")},
      {"length with zeros", AnswerWithLines("Content-Length: 0004")},
      {"length repeated in one field", AnswerWithLines("Content-Length: 4, 4")},
      {"length repeated in two fields",
       AnswerWithLines("Content-Length: 4\r\nContent-Length: 4")},
      {"chunks", AnswerWithLines("Transfer-Encoding: chunked", kChunkedText)},
      {"chunks, other case",
       AnswerWithLines("transfer-encoding:CHUNKED", kChunkedText)},
      {"chunks, empty members of the list",
       AnswerWithLines("Transfer-Encoding: , chunked ,", kChunkedText)},
      {"chunks with an extension",
       AnswerWithLines("Transfer-Encoding: chunked",
                       "4;a=\"b\"\r\ntext\r\n0\r\n\r\n")},
      {"trailers",
       AnswerWithLines("Transfer-Encoding: chunked\r\nTrailer: X-Sum",
                       "4\r\ntext\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n"
                       "x-last:\tv\xe9\r\n\r\n")},
      {"interim answers",
       "HTTP/1.1 100 Continue\r\n\r\n"
       "HTTP/1.1 103\r\nLink: </a>; rel=preload\r\n\r\n" +
           AnswerWithField("X-Note: v")},
      {"interim answer, then an answer that ends with its connection",
       "HTTP/1.1 102 Processing\r\n\r\n" + AnswerWithLines("X-Note: v")},
      {"end with the connection", AnswerWithLines("X-Note: v")},
      {"HTTP/1.0, end with the connection",
       "HTTP/1.0 200 OK\r\nX-Note: v\r\n\r\ntext"},
      {"no field at all", "HTTP/1.1 200 OK\r\n\r\ntext"},
  };
}

}  // namespace carawayrelay
