package edgenode.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.unix.Buffer;
import io.netty.channel.unix.RawUnixChannelOption;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Linux deals new connections among the sockets that share an address by a hash, unless a program
 * chooses one by its place (socket(7), SO_ATTACH_REUSEPORT_CBPF). Places are given in the order of
 * listening, and the last one takes the place of one that closes: so the process that has been
 * there longer stands at 0 and the one beside it at 1. A place that nobody has leaves the choice to
 * the hash.
 */
final class Reuseport {
  private static final int SOL_SOCKET = 1;
  private static final int SO_ATTACH_REUSEPORT_CBPF = 51;

  /** struct sock_fprog on 64 bits: an unsigned short, six bytes of nothing, a pointer. */
  private static final int PROGRAM = 16;

  /** struct sock_filter: code, two jumps, a number. */
  private static final int INSTRUCTION = 8;

  private static final int POINTER_AT = 8;
  private static final int NUMBER_AT = 4;

  /** BPF_RET | BPF_K. */
  private static final short RETURN = 0x06;

  private static final int SECOND = 1;
  private static final RawUnixChannelOption ATTACH =
      new RawUnixChannelOption(
          "SO_ATTACH_REUSEPORT_CBPF", SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, PROGRAM);

  private Reuseport() {}

  /**
   * The second of the sockets gets all that is new; false where the system does not take the
   * program.
   */
  static boolean giveWay(Channel listener) {
    ByteBuffer instruction = ByteBuffer.allocateDirect(INSTRUCTION).order(ByteOrder.nativeOrder());
    instruction.putShort(0, RETURN).putInt(NUMBER_AT, SECOND);
    ByteBuffer program = ByteBuffer.allocateDirect(PROGRAM).order(ByteOrder.nativeOrder());
    program.putShort(0, (short) 1).putLong(POINTER_AT, Buffer.memoryAddress(instruction));
    try {
      return listener.config().setOption(ATTACH, program);
    } catch (RuntimeException refused) { // Netty hands on the system's error so
      return false;
    }
  }
}
