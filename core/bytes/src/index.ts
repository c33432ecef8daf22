/** Bytes that arrive in pieces. */
export { ByteCollector } from './byteCollector'
