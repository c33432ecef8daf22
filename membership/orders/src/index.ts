/** Orders to engines. */
export { OrderSender, UnknownEndpointError } from './orderSender'
export type { OrderRequest, OrderSenderOptions } from './orderSender'
