/** Loopback addresses of this process's own: machines of two soaks at one address would take each other's sheets. */
export function processNetwork(): string {
  return `127.${128 + ((process.pid >> 8) & 63)}.${process.pid & 255}`
}
