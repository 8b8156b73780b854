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
final class ReusePortProgram {
  private static final int SOL_SOCKET = 1;
  private static final int SO_ATTACH_REUSEPORT_CBPF = 51;

  /** struct sock_fprog on 64 bits: an unsigned short, six bytes of nothing, a pointer. */
  private static final int PROGRAM_BYTES = 16;

  /** struct sock_filter: code, two jumps, a number. */
  private static final int INSTRUCTION_BYTES = 8;

  private static final int POINTER_OFFSET = 8;
  private static final int OPERAND_OFFSET = 4;

  /** BPF_RET | BPF_K. */
  private static final short RETURN_OPCODE = 0x06;

  private static final int SECOND_SOCKET = 1;
  private static final RawUnixChannelOption ATTACH_OPTION =
      new RawUnixChannelOption(
          "SO_ATTACH_REUSEPORT_CBPF", SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, PROGRAM_BYTES);

  private ReusePortProgram() {}

  /**
   * The second of the sockets gets all that is new; false where the system does not take the
   * program.
   */
  static boolean selectSecondSocket(Channel listener) {
    ByteBuffer instruction =
        ByteBuffer.allocateDirect(INSTRUCTION_BYTES).order(ByteOrder.nativeOrder());
    instruction.putShort(0, RETURN_OPCODE).putInt(OPERAND_OFFSET, SECOND_SOCKET);
    ByteBuffer program = ByteBuffer.allocateDirect(PROGRAM_BYTES).order(ByteOrder.nativeOrder());
    program.putShort(0, (short) 1).putLong(POINTER_OFFSET, Buffer.memoryAddress(instruction));
    try {
      return listener.config().setOption(ATTACH_OPTION, program);
    } catch (RuntimeException refused) { // Netty hands on the system's error so
      return false;
    }
  }
}
