/**
 * The operators' HTTP interface: {@link edgenode.admin.AdminHttpServer} takes calls, {@link
 * edgenode.admin.AdminOperations} answers them.
 */
package edgenode.admin;
