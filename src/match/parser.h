// Parses a rule file into its syntax tree. After an error it resumes at the next item, to report several.
//
//   file  := item*
//   item  := 'set' NAME '=' list | 'map' NAME '=' '{' literal ':' literal, ... '}'
//          | 'condition' NAME '=' expr | 'rate' NAME ':' INT 'per' DURATION ('burst' INT)?
//          | 'rule' NAME '{' setting* '}' | 'test' STRING '{' line* '}'
//   expr  := 'let' NAME '=' expr 'in' expr | or
//   or    := and ('or' and)*          and  := not ('and' not)*        not := 'not' not | rel
//   rel   := sum (cmp sum | 'in' place | 'is' 'present')?
//   sum   := term (('+'|'-') term)*    term := unary ('*' unary)*
//   unary := '-' unary | else          else := prim ('or_else' prim)*
//   prim  := literal | NAME | NAME '(' expr, ... ')' | '(' expr ')'
//   place := list | NETWORK | literal '..' literal | NAME
#ifndef HERONWAY_MATCH_PARSER_H_
#define HERONWAY_MATCH_PARSER_H_

#include "src/match/ast.h"

namespace heronway::match {

// Appends errors to `diagnostics`; the tree holds the items that could be parsed.
RuleFile Parse(std::string_view text, std::vector<Diagnostic>& diagnostics);

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_PARSER_H_
