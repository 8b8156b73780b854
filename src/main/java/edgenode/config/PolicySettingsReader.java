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
 * The settings by path, as both hosts are told them: the simulator's wire and the real edge node's
 * file.
 */
public final class PolicySettingsReader {
  /** A setting that is missing or cannot be understood. */
  public static final class InvalidSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String field;
    private final String problem;

    InvalidSettingException(String field, String problem) {
      super(field + ": " + problem);
      this.field = field;
      this.problem = problem;
    }

    /** What is wrong with it, without its path. */
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
   * A list of objects has its length under {@code .count}; a key that is not known here is skipped.
   */
  public static PolicySettings read(Map<String, String> valuesByKey) {
    PolicySettingsReader reader = new PolicySettingsReader(valuesByKey);
    List<RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < reader.numberOrZero("request_classes.count"); i++) {
      String prefix = "request_classes." + i + ".";
      Idempotency idempotency =
          switch (reader.text(prefix + "effect")) {
            case "read_like" -> Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Idempotency.KEYED;
            case "non_idempotent" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new InvalidSettingException(prefix + "effect", "unknown effect");
          };
      IdempotencyGroup group =
          switch (reader.textOr(prefix + "group", "cell")) {
            case "all" -> IdempotencyGroup.ALL;
            case "zone" -> IdempotencyGroup.ZONE;
            default -> IdempotencyGroup.CELL;
          };
      classes.add(
          new RequestClass(
              reader.text(prefix + "name"),
              idempotency,
              group,
              reader.numberOrZero(prefix + "aim"),
              reader.numberOrZero(prefix + "hard_limit"),
              reader.numberOrZero(prefix + "worth"),
              reader.numberOrZero(prefix + "late_share"),
              reader.numberOrZero(prefix + "repeat_window"),
              reader.isTrue(prefix + "stream")));
    }
    List<QuotaPlan> plans = new ArrayList<>();
    for (int i = 0; i < reader.numberOrZero("tariffs.count"); i++) {
      String prefix = "tariffs." + i + ".";
      plans.add(
          new QuotaPlan(
              reader.text(prefix + "name"),
              reader.numberOrZero(prefix + "per_second"),
              reader.numberOrZero(prefix + "depth"),
              (int) reader.numberOrZero(prefix + "open"),
              reader.numberOrZero(prefix + "price"),
              reader.numberOrZero(prefix + "extra_worth"),
              reader.numberOrZero(prefix + "over_cost"),
              reader.numberOrZero(prefix + "hard_rate"),
              reader.numberOrZero(prefix + "ceiling_burst"),
              reader.numberOrZero(prefix + "cap_slack")));
    }
    String fields = reader.textOr("feedback.fields", "");
    return new PolicySettings(
        (int) reader.numberOrZero("rank"),
        Math.max(1, (int) reader.numberOrZero("group_size")),
        reader.textOr("my_zone", ""),
        reader.numberOrZero("tick"),
        reader.textOr("discovery", "pushed").equals("on_request"),
        reader.isTrue("family_info.trued_up"),
        Math.max(1, (int) reader.numberOrZero("family_info.most_units")),
        fields.isEmpty() ? List.of() : List.of(fields.split(",")),
        classes,
        plans,
        new Capabilities(
            reader.isTrue("limits.probing"),
            reader.isTrue("limits.cancelling"),
            reader.isTrue("limits.parallel_tries"),
            reader.isTrue("limits.retry_after"),
            reader.isTrue("limits.peers"),
            reader.isTrue("family_info.shared_counter"),
            Math.max(1, (int) reader.numberOrZero("limits.send_cap")),
            reader.numberOrZero("limits.max_retry_after"),
            reader.numberOrZero("family_info.count_limit"),
            reader.numberOrZero("limits.keepalive")),
        new RuleLimits(
            reader.numberOrZero("contract.grace_to_answer"),
            reader.numberOrZero("contract.drain_grace"),
            reader.numberOrZero("contract.cold_share"),
            reader.numberOrZero("contract.warm_after"),
            reader.numberOrZero("contract.overload_factor"),
            reader.numberOrZero("contract.overload_for")),
        new Prices(
            reader.numberOrZero("prices.waste"),
            reader.numberOrZero("prices.probe"),
            reader.numberOrZero("family_info.counter_price"),
            reader.numberOrZero("prices.cross_zone"),
            reader.numberOrZero("prices.late_fail")));
  }

  private String textOr(String key, String defaultValue) {
    return valuesByKey.getOrDefault(key, defaultValue);
  }

  private String text(String key) {
    String value = valuesByKey.get(key);
    if (value == null) {
      throw new InvalidSettingException(key, "missing setting");
    }
    return value;
  }

  private double numberOrZero(String key) {
    return number(valuesByKey, key);
  }

  /** An absent number is 0. */
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
      // told below, with the field
    }
    throw new InvalidSettingException(key, "number expected, found '" + value + "'");
  }

  private boolean isTrue(String key) {
    String value = valuesByKey.getOrDefault(key, "false");
    return value.equals("true") || value.equals("1");
  }
}
