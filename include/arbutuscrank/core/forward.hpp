#pragma once

/// \file
/// \brief Forward declarations of the core's main types.

namespace arbutuscrank {

struct Document;
struct Service;
struct Account;
struct Member;
struct Outbox;
struct State;
struct Context;
class LookupTable;

} // namespace arbutuscrank
