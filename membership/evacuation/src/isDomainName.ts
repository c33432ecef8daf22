/**
 * Letters, digits, dots, underscores and hyphens, starting with a letter or digit. At most 63 characters,
 * like a DNS label.
 */
const DOMAIN_NAME = /^[\p{L}\p{N}][\p{L}\p{N}._-]{0,62}$/u

/** Whether a text is a valid name of a failure domain; the domain need not exist. */
export function isDomainName(text: string): boolean {
  return DOMAIN_NAME.test(text)
}
