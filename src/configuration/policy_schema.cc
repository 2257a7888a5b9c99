#include "configuration/policy_schema.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace quincewick::configuration {
namespace {

constexpr size_t kSha256Digits = 64;
constexpr double kGreatestRate = 1e9;
constexpr absl::Duration kShortestWait = absl::Milliseconds(1);
constexpr absl::Duration kLongestWait = absl::Hours(24);

constexpr EnumName<Urgency> kUrgencies[] = {
    {Urgency::kUrgent, "urgent"}, {Urgency::kStandard, "standard"}, {Urgency::kDeferrable, "deferrable"}};
constexpr EnumName<RequestType> kRequestTypes[] = {{RequestType::kInference, "inference"},
                                                   {RequestType::kAction, "action"}};
constexpr EnumName<OperatorRole> kRoles[] = {{OperatorRole::kViewer, "viewer"},
                                             {OperatorRole::kOperator, "operator"},
                                             {OperatorRole::kAdmin, "admin"}};
constexpr EnumName<routing::Stickiness> kStickiness[] = {{routing::Stickiness::kTenant, "tenant"},
                                                         {routing::Stickiness::kSession, "session"}};

std::optional<std::string> checkSha256(const std::string& digits) {
  const bool is_lower_hexadecimal = std::all_of(digits.begin(), digits.end(), [](unsigned char character) {
    return absl::ascii_isdigit(character) || (character >= 'a' && character <= 'f');
  });
  if (digits.size() != kSha256Digits || !is_lower_hexadecimal) {
    return "expected 64 lower-case hexadecimal digits";
  }
  return std::nullopt;
}

std::optional<std::string> checkOptionalDuration(const std::optional<absl::Duration>& duration) {
  return duration ? within(kShortestWait, kLongestWait)(*duration) : std::nullopt;
}

std::optional<std::string> checkRouteGroups(const std::vector<GroupName>& groups) {
  return groups.empty() ? std::optional<std::string>("expected at least one group") : std::nullopt;
}

}  // namespace

template <>
struct YamlCodec<Urgency> {
  static bool read(const YamlCursor& cursor, Urgency& value) { return readEnum(cursor, kUrgencies, value); }
  static void write(YAML::Emitter& out, Urgency value) { writeEnum(out, kUrgencies, value); }
};

template <>
struct YamlCodec<RequestType> {
  static bool read(const YamlCursor& cursor, RequestType& value) {
    return readEnum(cursor, kRequestTypes, value);
  }
  static void write(YAML::Emitter& out, RequestType value) { writeEnum(out, kRequestTypes, value); }
};

template <>
struct YamlCodec<OperatorRole> {
  static bool read(const YamlCursor& cursor, OperatorRole& value) { return readEnum(cursor, kRoles, value); }
  static void write(YAML::Emitter& out, OperatorRole value) { writeEnum(out, kRoles, value); }
};

template <>
struct YamlCodec<routing::Stickiness> {
  static bool read(const YamlCursor& cursor, routing::Stickiness& value) {
    return readEnum(cursor, kStickiness, value);
  }
  static void write(YAML::Emitter& out, routing::Stickiness value) { writeEnum(out, kStickiness, value); }
};

template <>
struct YamlCodec<routing::Selector> {
  static bool read(const YamlCursor& cursor, routing::Selector& value) {
    std::string text;
    if (!YamlCodec<std::string>::read(cursor, text)) {
      return false;
    }
    Result<routing::Selector> selector = routing::Selector::parse(text);
    if (!selector) {
      return cursor.fault("not a selector: " + selector.error().message);
    }
    value = std::move(selector.value());
    return true;
  }
  static void write(YAML::Emitter& out, const routing::Selector& value) {
    out << YAML::DoubleQuoted << value.print();
  }
};

const YamlSchema<KeyHash>& schemaOf(const KeyHash* /*type*/) {
  static const auto* const schema = new YamlSchema<KeyHash>(
      YamlSchema<KeyHash>()
          .add("sha256", &KeyHash::sha256, Presence::kRequired, ValueCheck<std::string>(checkSha256))
          .add("expires", &KeyHash::expires, Presence::kOptional));
  return *schema;
}

const YamlSchema<TenantLimits>& schemaOf(const TenantLimits* /*type*/) {
  const auto rate = within<double>(0, kGreatestRate);
  static const auto* const schema = new YamlSchema<TenantLimits>(
      YamlSchema<TenantLimits>()
          .add("requests_per_second", &TenantLimits::requests_per_second, Presence::kOptional, rate)
          .add("tokens_per_second", &TenantLimits::tokens_per_second, Presence::kOptional, rate)
          .add("concurrent_requests", &TenantLimits::concurrent_requests, Presence::kOptional));
  return *schema;
}

const YamlSchema<SitePolicy>& schemaOf(const SitePolicy* /*type*/) {
  static const auto* const schema = new YamlSchema<SitePolicy>(
      YamlSchema<SitePolicy>()
          .add("block_size", &SitePolicy::block_size, Presence::kOptional, within<uint32_t>(16, 1U << 20))
          .add("simultaneous_loads", &SitePolicy::simultaneous_loads, Presence::kOptional,
               within<uint32_t>(1, 1000))
          .add("outcome_retention", &SitePolicy::outcome_retention, Presence::kOptional,
               within(absl::Minutes(1), absl::Hours(24 * 30))));
  return *schema;
}

const YamlSchema<TenantPolicy>& schemaOf(const TenantPolicy* /*type*/) {
  static const auto* const schema = new YamlSchema<TenantPolicy>(
      YamlSchema<TenantPolicy>()
          .add("labels", &TenantPolicy::labels, Presence::kOptional)
          .add("isolation_domain", &TenantPolicy::isolation_domain, Presence::kOptional)
          .add("weight", &TenantPolicy::weight, Presence::kOptional, within<double>(0.001, 1000))
          .add("limits", &TenantPolicy::limits, Presence::kOptional)
          .add("caller_keys", &TenantPolicy::caller_keys, Presence::kOptional));
  return *schema;
}

const YamlSchema<ModelPolicy>& schemaOf(const ModelPolicy* /*type*/) {
  static const auto* const schema = new YamlSchema<ModelPolicy>(
      YamlSchema<ModelPolicy>()
          .add("weights_version", &ModelPolicy::weights_version, Presence::kRequired)
          .add("adapters", &ModelPolicy::adapters, Presence::kOptional));
  return *schema;
}

const YamlSchema<RequestKindPolicy>& schemaOf(const RequestKindPolicy* /*type*/) {
  static const auto* const schema = new YamlSchema<RequestKindPolicy>(
      YamlSchema<RequestKindPolicy>()
          .add("type", &RequestKindPolicy::type, Presence::kRequired)
          .add("labels", &RequestKindPolicy::labels, Presence::kOptional)
          .add("urgency", &RequestKindPolicy::urgency, Presence::kOptional)
          .add("deadline", &RequestKindPolicy::deadline, Presence::kOptional,
               ValueCheck<std::optional<absl::Duration>>(checkOptionalDuration))
          .add("repeatable", &RequestKindPolicy::repeatable, Presence::kOptional));
  return *schema;
}

const YamlSchema<GroupPolicy>& schemaOf(const GroupPolicy* /*type*/) {
  static const auto* const schema = new YamlSchema<GroupPolicy>(
      YamlSchema<GroupPolicy>().add("back_ends", &GroupPolicy::back_ends, Presence::kRequired));
  return *schema;
}

const YamlSchema<ClassPolicy>& schemaOf(const ClassPolicy* /*type*/) {
  // All are required: a class of its own has no defaults that would fit all three classes.
  static const auto* const schema = new YamlSchema<ClassPolicy>(
      YamlSchema<ClassPolicy>()
          .add("window_share", &ClassPolicy::window_share, Presence::kRequired, within<double>(0.01, 1))
          .add("minimum_share", &ClassPolicy::minimum_share, Presence::kRequired, within<double>(0, 0.9))
          .add("maximum_wait", &ClassPolicy::maximum_wait, Presence::kRequired,
               within(kShortestWait, kLongestWait)));
  return *schema;
}

const YamlSchema<AdmissionPolicy>& schemaOf(const AdmissionPolicy* /*type*/) {
  const auto count = within<uint32_t>(1, 1'000'000);
  const auto wait = within(kShortestWait, kLongestWait);
  static const auto* const schema = new YamlSchema<AdmissionPolicy>(
      YamlSchema<AdmissionPolicy>()
          .add("urgent", &AdmissionPolicy::urgent, Presence::kOptional)
          .add("standard", &AdmissionPolicy::standard, Presence::kOptional)
          .add("deferrable", &AdmissionPolicy::deferrable, Presence::kOptional)
          .add("maximum_waiting", &AdmissionPolicy::maximum_waiting, Presence::kOptional, count)
          .add("maximum_waiting_per_tenant", &AdmissionPolicy::maximum_waiting_per_tenant,
               Presence::kOptional, count)
          .add("shortest_retry_after", &AdmissionPolicy::shortest_retry_after, Presence::kOptional, wait)
          .add("longest_retry_after", &AdmissionPolicy::longest_retry_after, Presence::kOptional, wait));
  return *schema;
}

const YamlSchema<RetryPolicy>& schemaOf(const RetryPolicy* /*type*/) {
  const auto share = within<double>(0, 1);
  static const auto* const schema = new YamlSchema<RetryPolicy>(
      YamlSchema<RetryPolicy>()
          .add("maximum_attempts", &RetryPolicy::maximum_attempts, Presence::kOptional,
               within<uint32_t>(1, 10))
          .add("retry_share", &RetryPolicy::retry_share, Presence::kOptional, share)
          .add("hedge_share", &RetryPolicy::hedge_share, Presence::kOptional, share)
          .add("ejection_failures", &RetryPolicy::ejection_failures, Presence::kOptional,
               within<uint32_t>(1, 1000))
          .add("ejection_time", &RetryPolicy::ejection_time, Presence::kOptional,
               within(kShortestWait, kLongestWait)));
  return *schema;
}

const YamlSchema<OperatorPolicy>& schemaOf(const OperatorPolicy* /*type*/) {
  static const auto* const schema =
      new YamlSchema<OperatorPolicy>(YamlSchema<OperatorPolicy>()
                                         .add("role", &OperatorPolicy::role, Presence::kRequired)
                                         .add("keys", &OperatorPolicy::keys, Presence::kRequired));
  return *schema;
}

const YamlSchema<Policy>& schemaOf(const Policy* /*type*/) {
  static const auto* const schema =
      new YamlSchema<Policy>(YamlSchema<Policy>()
                                 .add("base_version", &Policy::base_version, Presence::kOptional)
                                 .add("site", &Policy::site, Presence::kOptional)
                                 .add("tenants", &Policy::tenants, Presence::kOptional)
                                 .add("models", &Policy::models, Presence::kOptional)
                                 .add("request_kinds", &Policy::request_kinds, Presence::kOptional)
                                 .add("groups", &Policy::groups, Presence::kOptional)
                                 .add("routes", &Policy::routes, Presence::kOptional)
                                 .add("admission", &Policy::admission, Presence::kOptional)
                                 .add("retries", &Policy::retries, Presence::kOptional)
                                 .add("operators", &Policy::operators, Presence::kOptional));
  return *schema;
}

}  // namespace quincewick::configuration

namespace quincewick::routing {

const configuration::YamlSchema<ShareSplit>& schemaOf(const ShareSplit* /*type*/) {
  using configuration::Presence;
  static const auto* const schema = new configuration::YamlSchema<ShareSplit>(
      configuration::YamlSchema<ShareSplit>()
          .add("group", &ShareSplit::group, Presence::kRequired)
          .add("percentage", &ShareSplit::percentage, Presence::kRequired,
               configuration::within<uint32_t>(0, 100))
          .add("stickiness", &ShareSplit::stickiness, Presence::kOptional));
  return *schema;
}

const configuration::YamlSchema<RouteSpecification>& schemaOf(const RouteSpecification* /*type*/) {
  using configuration::Presence;
  using configuration::ValueCheck;
  static const auto* const schema = new configuration::YamlSchema<RouteSpecification>(
      configuration::YamlSchema<RouteSpecification>()
          .add("priority", &RouteSpecification::priority, Presence::kOptional)
          .add("selector", &RouteSpecification::selector, Presence::kRequired)
          .add("urgency", &RouteSpecification::urgency, Presence::kOptional)
          .add("groups", &RouteSpecification::groups, Presence::kRequired,
               ValueCheck<std::vector<GroupName>>(configuration::checkRouteGroups))
          .add("old_path", &RouteSpecification::old_path, Presence::kOptional)
          .add("mirror", &RouteSpecification::mirror, Presence::kOptional)
          .add("deadline", &RouteSpecification::deadline, Presence::kOptional,
               ValueCheck<std::optional<absl::Duration>>(configuration::checkOptionalDuration)));
  return *schema;
}

}  // namespace quincewick::routing
