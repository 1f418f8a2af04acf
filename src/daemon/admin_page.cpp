#include "daemon/admin_page.hpp"

namespace arbutuscrank {

std::string_view adminPage() noexcept
{
    return R"(<!doctype html><title>arbutuscrank</title><p>See the operators' API under /v1.)";
}

} // namespace arbutuscrank
