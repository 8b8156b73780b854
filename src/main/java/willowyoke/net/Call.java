package willowyoke.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.util.ArrayList;
import java.util.List;

/** A client's call as read: what the module is told of it, and its list of names and values round d. */
record Call(String customer, String type, String plan, double patience, int units, int spread, int first,
    boolean again, String beforeWait, String afterWait) {

    private static final int CUSTOMER = 1;
    private static final int ID = 2;
    private static final int LIST = 3;
    private static final int BODY = 4;

    /** Throws IllegalArgumentException with what is wrong. */
    static Call of(ArrayRedisMessage command) {
        List<RedisMessage> parts = command.children();
        if (parts.size() <= LIST || parts.size() > BODY + 1) {
            throw new IllegalArgumentException("wrong number of arguments");
        }
        for (RedisMessage part : parts) {
            if (!(part instanceof FullBulkStringRedisMessage bulk) || bulk.isNull()) {
                throw new IllegalArgumentException("bulk strings expected");
            }
        }
        String customer = Resp.text(parts.get(CUSTOMER));
        String id = Resp.text(parts.get(ID));
        if (customer.isEmpty() || customer.length() > 64 || id.isEmpty() || id.length() > 64) {
            throw new IllegalArgumentException("customer or id is malformed");
        }
        String list = Resp.text(parts.get(LIST));
        String type = null;
        String plan = null;
        double wait = Double.NaN;
        int units = 1;
        int spread = 1;
        int first = 0;
        int waitFrom = -1;
        int waitTo = -1;
        boolean again = false;
        for (int from = 0; from < list.length();) {
            int comma = list.indexOf(',', from);
            int to = comma < 0 ? list.length() : comma;
            int eq = list.indexOf('=', from);
            if (eq < 0 || eq >= to) {
                throw new IllegalArgumentException("name=value expected");
            }
            String value = list.substring(eq + 1, to);
            switch (list.substring(from, eq)) {
                case "c" -> type = value;
                case "t" -> plan = value;
                case "d" -> {
                    wait = number(value);
                    waitFrom = eq + 1;
                    waitTo = to;
                }
                case "units" -> units = (int) number(value);
                case "spread" -> spread = (int) number(value);
                case "first" -> first = (int) number(value);
                case "r" -> again = value.equals("1");
                default -> { } // passed on as it is
            }
            from = to + 1;
        }
        if (type == null || plan == null || waitFrom < 0 || units < 1 || spread < 1 || first < 0) {
            throw new IllegalArgumentException("c, t and d are needed");
        }
        return new Call(customer, type, plan, wait, units, spread, first, again, list.substring(0, waitFrom),
            list.substring(waitTo));
    }

    private static double number(String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("a number is malformed");
        }
    }

    /** The command as it goes on: unchanged, but d tells what is left. */
    ArrayRedisMessage forward(ArrayRedisMessage command, double left, ByteBufAllocator alloc) {
        List<RedisMessage> parts = new ArrayList<>(command.children().size());
        for (int i = 0; i < command.children().size(); i++) {
            parts.add(i == LIST
                ? Resp.bulk(alloc, beforeWait + Math.max(1, (long) left) + afterWait)
                : ((FullBulkStringRedisMessage) command.children().get(i)).retainedDuplicate());
        }
        return new ArrayRedisMessage(parts);
    }
}
