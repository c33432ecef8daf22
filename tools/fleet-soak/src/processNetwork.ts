/**
 * Returns the first three numbers of loopback addresses, derived from the process id: two soaks at the same addresses would
 * accept each other's sheets.
 */
export function processNetwork(): string {
  return `127.${128 + ((process.pid >> 8) & 63)}.${process.pid & 255}`
}
