package edgenode.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.unix.Buffer;
import io.netty.channel.unix.RawUnixChannelOption;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Selects the socket that gets all new connections of a shared address. Linux distributes them
 * among the sockets by a hash, unless a BPF program returns a socket's index (socket(7),
 * SO_ATTACH_REUSEPORT_CBPF). Indexes are given in the order of listening, and the last socket takes
 * the index of one that closes: of two processes the older one has 0 and the newer one 1. An index
 * without a socket leaves the choice to the hash.
 */
final class ReusePortProgram {
  private static final int SOL_SOCKET = 1;
  private static final int SO_ATTACH_REUSEPORT_CBPF = 51;

  /** struct sock_fprog on 64 bits: an unsigned short, six bytes of padding, a pointer. */
  private static final int PROGRAM_BYTES = 16;

  /** struct sock_filter: opcode, two jump offsets, an operand. */
  private static final int INSTRUCTION_BYTES = 8;

  private static final int POINTER_OFFSET = 8;
  private static final int OPERAND_OFFSET = 4;

  /** BPF_RET | BPF_K. */
  private static final short RETURN_OPCODE = 0x06;

  private static final short PROGRAM_LENGTH = 1;
  private static final int SECOND_SOCKET = 1;
  private static final RawUnixChannelOption ATTACH_OPTION =
      new RawUnixChannelOption(
          "SO_ATTACH_REUSEPORT_CBPF", SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, PROGRAM_BYTES);

  private ReusePortProgram() {}

  /**
   * Has the second socket get all new connections.
   *
   * @param listener any of the sockets
   * @return false where the system rejects the program
   */
  static boolean selectSecondSocket(Channel listener) {
    ByteBuffer instruction =
        ByteBuffer.allocateDirect(INSTRUCTION_BYTES).order(ByteOrder.nativeOrder());
    instruction.putShort(0, RETURN_OPCODE).putInt(OPERAND_OFFSET, SECOND_SOCKET);
    ByteBuffer program = ByteBuffer.allocateDirect(PROGRAM_BYTES).order(ByteOrder.nativeOrder());
    program.putShort(0, PROGRAM_LENGTH).putLong(POINTER_OFFSET, Buffer.memoryAddress(instruction));
    try {
      return listener.config().setOption(ATTACH_OPTION, program);
    } catch (RuntimeException rejected) { // how Netty reports the system's error
      return false;
    }
  }
}
