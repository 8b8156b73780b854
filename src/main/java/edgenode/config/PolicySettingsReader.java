package edgenode.config;

import edgenode.policy.Capabilities;
import edgenode.policy.Idempotency;
import edgenode.policy.IdempotencyGroup;
import edgenode.policy.PolicySettings;
import edgenode.policy.Prices;
import edgenode.policy.QuotaPlan;
import edgenode.policy.RequestClass;
import edgenode.policy.RuleLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads the policy's settings, given as a value for each path. Both the simulator's wire and the
 * node's configuration file end up in this form, whose names are mapped to the terms of the code
 * here. {@link NodeConfig} reads the rest of the file, and of the settings {@code limits.keepalive}
 * (which it reads too, with a default of its own) and {@code limits.connect_timeout}.
 */
public final class PolicySettingsReader {
  /** A setting is missing or malformed; the message names it. */
  public static final class InvalidPolicySettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String field;
    private final String problem;

    InvalidPolicySettingException(String field, String problem) {
      super(field + ": " + problem);
      this.field = field;
      this.problem = problem;
    }

    /** What is wrong, without the setting's path. */
    public String problem() {
      return problem;
    }

    /** The setting's path. */
    public String field() {
      return field;
    }
  }

  private final Map<String, String> valuesByKey;

  private PolicySettingsReader(Map<String, String> valuesByKey) {
    this.valuesByKey = valuesByKey;
  }

  /**
   * Reads all settings. A list of objects has its length under {@code .count}; unknown keys are
   * skipped, absent numbers are 0.
   *
   * @param valuesByKey a value for each path, such as {@code limits.keepalive}
   * @throws InvalidSettingException at the first setting that is missing or malformed
   */
  public static PolicySettings read(Map<String, String> valuesByKey) {
    return new PolicySettingsReader(valuesByKey).readAll();
  }

  private PolicySettings readAll() {
    List<RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < numberOrZero("request_classes.count"); i++) {
      classes.add(requestClass("request_classes." + i + "."));
    }
    List<QuotaPlan> plans = new ArrayList<>();
    for (int i = 0; i < numberOrZero("tariffs.count"); i++) {
      plans.add(plan("tariffs." + i + "."));
    }
    String loadReportFields = textOr("feedback.fields", "");
    return new PolicySettings(
        (int) numberOrZero("rank"),
        Math.max(1, (int) numberOrZero("group_size")),
        textOr("my_zone", ""),
        numberOrZero("tick"),
        textOr("discovery", "pushed").equals("on_request"),
        isTrue("family_info.trued_up"),
        Math.max(1, (int) numberOrZero("family_info.most_units")),
        loadReportFields.isEmpty() ? List.of() : List.of(loadReportFields.split(",")),
        classes,
        plans,
        capabilities(),
        rules(),
        prices());
  }

  private RequestClass requestClass(String prefix) {
    Idempotency idempotency =
        switch (text(prefix + "effect")) {
          case "read_like" -> Idempotency.IDEMPOTENT;
          case "idempotency_key" -> Idempotency.KEYED;
          case "non_idempotent" -> Idempotency.NOT_IDEMPOTENT;
          default -> throw new InvalidPolicySettingException(prefix + "effect", "unknown effect");
        };
    IdempotencyGroup group =
        switch (textOr(prefix + "group", "cell")) {
          case "all" -> IdempotencyGroup.ALL;
          case "zone" -> IdempotencyGroup.ZONE;
          default -> IdempotencyGroup.CELL;
        };
    return new RequestClass(
        text(prefix + "name"),
        idempotency,
        group,
        numberOrZero(prefix + "aim"),
        numberOrZero(prefix + "hard_limit"),
        numberOrZero(prefix + "worth"),
        numberOrZero(prefix + "late_share"),
        numberOrZero(prefix + "repeat_window"),
        isTrue(prefix + "stream"));
  }

  private QuotaPlan plan(String prefix) {
    return new QuotaPlan(
        text(prefix + "name"),
        numberOrZero(prefix + "per_second"),
        numberOrZero(prefix + "depth"),
        (int) numberOrZero(prefix + "open"),
        numberOrZero(prefix + "price"),
        numberOrZero(prefix + "extra_worth"),
        numberOrZero(prefix + "over_cost"),
        numberOrZero(prefix + "hard_rate"),
        numberOrZero(prefix + "ceiling_burst"),
        numberOrZero(prefix + "cap_slack"));
  }

  private Capabilities capabilities() {
    return new Capabilities(
        isTrue("limits.probing"),
        isTrue("limits.cancelling"),
        isTrue("limits.parallel_tries"),
        isTrue("limits.retry_after"),
        isTrue("limits.peers"),
        isTrue("family_info.shared_counter"),
        Math.max(1, (int) numberOrZero("limits.send_cap")),
        numberOrZero("limits.max_retry_after"),
        numberOrZero("family_info.count_limit"),
        numberOrZero("limits.keepalive"));
  }

  private RuleLimits rules() {
    return new RuleLimits(
        numberOrZero("contract.grace_to_answer"),
        numberOrZero("contract.drain_grace"),
        numberOrZero("contract.cold_share"),
        numberOrZero("contract.warm_after"),
        numberOrZero("contract.overload_factor"),
        numberOrZero("contract.overload_for"));
  }

  private Prices prices() {
    return new Prices(
        numberOrZero("prices.waste"),
        numberOrZero("prices.probe"),
        numberOrZero("family_info.counter_price"),
        numberOrZero("prices.cross_zone"),
        numberOrZero("prices.late_fail"));
  }

  private String textOr(String key, String defaultValue) {
    return valuesByKey.getOrDefault(key, defaultValue);
  }

  private String text(String key) {
    String value = valuesByKey.get(key);
    if (value == null) {
      throw new InvalidPolicySettingException(key, "missing setting");
    }
    return value;
  }

  private double numberOrZero(String key) {
    return number(valuesByKey, key);
  }

  /**
   * One number; 0 where it is absent.
   *
   * @throws InvalidSettingException where it is no finite number
   */
  public static double number(Map<String, String> valuesByKey, String key) {
    String value = valuesByKey.get(key);
    if (value == null || value.equals("-")) {
      return 0;
    }
    try {
      double parsed = Double.parseDouble(value);
      if (Double.isFinite(parsed)) {
        return parsed;
      }
    } catch (NumberFormatException e) {
      // reported below, as an infinite number is
    }
    throw new InvalidPolicySettingException(key, "number expected, found '" + value + "'");
  }

  private boolean isTrue(String key) {
    String value = valuesByKey.getOrDefault(key, "false");
    return value.equals("true") || value.equals("1");
  }
}
