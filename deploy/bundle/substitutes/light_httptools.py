"""The names of `httptools` that the program uses, without its URL parser."""

import httptools.parser.errors
import httptools.parser.parser

# Names of an extension module.
# pylint: disable=c-extension-no-member,protected-access

HttpParserError = httptools.parser.errors.HttpParserError
HttpParserUpgrade = httptools.parser.errors.HttpParserUpgrade
HttpRequestParser = httptools.parser.parser.HttpRequestParser
HttpResponseParser = httptools.parser.parser.HttpResponseParser
