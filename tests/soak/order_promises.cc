#include "order_promises.h"

#include <absl/container/btree_map.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace quincewick::soak {
namespace {

std::vector<Order> inOrder(const History& history) {
  std::vector<Order> orders = history.orders;
  std::stable_sort(orders.begin(), orders.end(),
                   [](const Order& one, const Order& other) { return one.at < other.at; });
  return orders;
}

std::string describe(const Order& order, const Order& earlier) {
  return absl::StrCat(order.holder, " to ", order.engine, ", ",
                      absl::ToInt64Milliseconds(order.at - earlier.at), " ms after ", earlier.holder, " to ",
                      earlier.engine);
}

}  // namespace

PromiseResult checkFences(const History& history) {
  PromiseResult result{"no two holders give orders under one fence, and fences rise", 0, {}};
  absl::btree_map<std::string, Order> highest;  // of each holder, so far
  for (const Order& order : inOrder(history)) {
    ++result.checks;
    for (const auto& [holder, earlier] : highest) {
      if (holder != order.holder && order.fence <= earlier.fence) {
        const std::string fences = order.fence == earlier.fence
                                       ? absl::StrCat("one fence, ", order.fence, ": ")
                                       : absl::StrCat("fence ", order.fence, " after ", earlier.fence, ": ");
        result.violations.push_back({fences + describe(order, earlier), {}});
      }
    }
    const auto [position, is_first] = highest.try_emplace(order.holder, order);
    if (!is_first && order.fence >= position->second.fence) {
      position->second = order;
    }
  }
  return result;
}

PromiseResult checkOrdersApart(const History& history, const Bounds& bounds) {
  PromiseResult result{"orders of two holders lie a lease apart", 0, {}};
  absl::btree_map<std::string, Order> last;  // of each holder, so far
  for (const Order& order : inOrder(history)) {
    ++result.checks;
    for (const auto& [holder, earlier] : last) {
      if (holder != order.holder && order.at < earlier.at + bounds.order_lease) {
        result.violations.push_back({describe(order, earlier), {}});
      }
    }
    last.insert_or_assign(order.holder, order);
  }
  return result;
}

}  // namespace quincewick::soak
