/**
 * RESP2, the protocol of clients, endpoints and counter: Netty's codec within bounds ({@link
 * edgenode.net.resp.RespCodec}), the transfer of long values ({@link
 * edgenode.net.resp.LongValueDecoder}) and a client's request ({@link
 * edgenode.net.resp.RequestCommand}). The wire's field names are mapped to the terms of the code in
 * {@code RequestFieldList} and nowhere else.
 */
package edgenode.net.resp;
