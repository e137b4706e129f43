package fold_test

import "hash/crc32"

func crcOf(data []byte) uint32 { return crc32.ChecksumIEEE(data) }
